#include "configuration/configuration.h"

#include <catch2/catch.hpp>

using namespace sassafrasyard;

namespace {

std::vector<std::string> validArguments()
{
    return {"--host=a",
            "--failure-domain=d",
            "--region=r",
            "--caller-address=127.0.0.1:1",
            "--peer-address=127.0.0.1:2",
            "--admin-address=127.0.0.1:3",
            "--platform-address=127.0.0.1:4",
            "--position-secret=0123456789abcdef",
            "--operator-token=0123456789abcdef"};
}

std::optional<std::string> emptyEnvironment(std::string_view)
{
    return std::nullopt;
}

} // namespace

// Guards against settings that ignore one of the two sources.
TEST_CASE("Settings are read from flags and the environment", "[configuration]")
{
    std::vector<Error> faults;
    auto arguments = validArguments();
    arguments.emplace_back("--join=127.0.0.1:5,127.0.0.1:6");
    const auto settings = readSettings(
            arguments,
            [](std::string_view name) -> std::optional<std::string> {
                if (name == "SASSAFRASYARD_IO_THREADS")
                    return "7";
                return std::nullopt;
            },
            faults);
    REQUIRE(settings);
    REQUIRE(settings->ioThreads == 7);
    REQUIRE(settings->joinAddresses.size() == 2);
}

// Guards against reporting only the first fault.
TEST_CASE("All faults of the settings are reported at once", "[configuration]")
{
    std::vector<Error> faults;
    auto arguments = validArguments();
    arguments[3] = "--caller-address=nowhere";
    arguments[8] = "--operator-token=short";
    arguments.emplace_back("--unknown=1");
    REQUIRE_FALSE(readSettings(arguments, emptyEnvironment, faults));
    REQUIRE(faults.size() == 3);
}

// Guards against fields that are lost when a configuration is formatted.
TEST_CASE("A formatted configuration parses to an equivalent one", "[configuration]")
{
    Configuration configuration;
    configuration.revision = 3;
    ClientAccount account;
    account.limits.account = ClientAccountName("stores");
    account.keyDigests = {sha256Hex("key")};
    account.models.emplace_back(ModelName("tagwriter"), "v1");
    configuration.accounts.push_back(account);
    BackendServer server;
    server.name = BackendServerName("engine");
    server.address = "127.0.0.1:9";
    server.models = {ModelName("tagwriter")};
    configuration.servers.push_back(server);
    Error reason;
    const auto parsed = parseConfiguration(formatConfiguration(configuration), reason);
    REQUIRE(parsed);
    REQUIRE(parsed->findByKeyDigest(sha256Hex("key"))->limits.account.toString() == "stores");
    REQUIRE(parsed->findServer(server.name)->address == server.address);
    REQUIRE_FALSE(parseConfiguration("{}", reason));
    REQUIRE(reason.code == ErrorCode::ConfigurationInvalid);
}

// Guards against a secret in the error output after a misspelt flag or a stray space.
TEST_CASE("Faults of the settings never quote a secret", "[configuration]")
{
    std::vector<Error> faults;
    auto arguments = validArguments();
    arguments[7] = "--position-secret=pssst";
    arguments[8] = "--operator-tokn=hush-hush-hush-hush";
    arguments.emplace_back("hush-too");
    arguments.emplace_back("--io-threads=pssst-too");
    REQUIRE_FALSE(readSettings(arguments, emptyEnvironment, faults));
    REQUIRE(faults.size() == 5);
    for (const Error &fault : faults) {
        REQUIRE(fault.detail.find("hush") == std::string::npos);
        REQUIRE(fault.detail.find("pssst") == std::string::npos);
    }
}
