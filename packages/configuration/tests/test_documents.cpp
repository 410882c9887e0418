#include "documentsamples.h"

#include <catch2/catch.hpp>

using namespace sassafrasyard;

namespace {

std::vector<ConfigurationFault> findFaults(const std::vector<ProposedDocument> &documents)
{
    std::vector<ConfigurationFault> faults;
    resolveConfiguration(applyProposals({}, documents, 1), 1, faults);
    return faults;
}

bool hasFault(const std::vector<ConfigurationFault> &faults, ConfigurationFaultKind kind,
              const std::string &document, const std::string &place)
{
    return std::any_of(faults.begin(), faults.end(), [&](const ConfigurationFault &fault) {
        return fault.kind == kind && fault.document == document && fault.place == place
                && !fault.remedy.empty();
    });
}

ProposedDocument makeProposal(const std::string &key, std::string body)
{
    return {*parseDocumentKey(key), std::move(body)};
}

} // namespace

// Guards against template parameters that are lost or not substituted.
TEST_CASE("A client account is its template with the parameters filled in", "[configuration]")
{
    const std::string digest = sha256Hex("key");
    std::vector<ConfigurationFault> faults;
    const auto set = applyProposals(
            {},
            {DocumentSamples::model(),
             makeProposal("template/shop", R"({"parameters":{"keys":{"type":"strings"},
                 "rate":{"type":"number","default":7}},"account":{"key_digests":{"parameter":"keys"},
                 "models":[{"name":"plan","version":"v2"}],"requests_per_second":{"parameter":"rate"},
                 "services":["stock"]}})"),
             makeProposal("account/demo",
                          R"({"template":"shop","parameters":{"keys":[")" + digest + R"("]}})"),
             makeProposal("server/s",
                          R"({"kind":"service","address":"127.0.0.1:1","service":"stock"})")},
            4);
    const auto configuration = resolveConfiguration(set, 4, faults);
    REQUIRE(faults.empty());
    REQUIRE(configuration);
    const ClientAccount *account = configuration->findByKeyDigest(digest);
    REQUIRE(account != nullptr);
    REQUIRE(account->limits.account.toString() == "demo");
    REQUIRE(account->limits.requestsPerSecond == 7);
    REQUIRE(account->models.front().second == "v2");
    REQUIRE(configuration->revision == 4);
}

// Guards against reporting only the first fault, and against faults without their place.
TEST_CASE("All faults are reported with document, place and remedy", "[configuration]")
{
    const auto faults = findFaults(
            {makeProposal("template/shop", R"({"parameters":{"n":{"type":"integer"}},"acount":{},
                 "account":{"key_digests":["x"],"models":[{"name":"plan"}],"weight":"much",
                 "highest_priority":3,"maximum_running":{"parameter":"m"}}})"),
             makeProposal("account/a", R"({"template":"shop","parameters":{"n":1.5,"x":1}})"),
             makeProposal("account/b", R"({"template":"none"})"),
             makeProposal("account/c", R"({"template":"shop"})"),
             makeProposal("server/e",
                          R"({"kind":"engine","address":"a:1","models":["plan"],"slots":0})"),
             makeProposal("server/f", R"({"kind":"rocket"})"), makeProposal("model/m", "{")});
    using Kind = ConfigurationFaultKind;
    REQUIRE(hasFault(faults, Kind::UnknownField, "template/shop", "acount"));
    REQUIRE(hasFault(faults, Kind::OutOfRange, "template/shop", "account.key_digests"));
    REQUIRE(hasFault(faults, Kind::WrongType, "template/shop", "account.weight"));
    REQUIRE(hasFault(faults, Kind::OutOfRange, "template/shop", "account.highest_priority"));
    REQUIRE(hasFault(faults, Kind::UnknownParameter, "template/shop", "account"));
    REQUIRE(hasFault(faults, Kind::WrongType, "account/a", "parameters.n"));
    REQUIRE(hasFault(faults, Kind::UnknownParameter, "account/a", "parameters.x"));
    REQUIRE(hasFault(faults, Kind::UnknownReference, "account/b", "template"));
    REQUIRE(hasFault(faults, Kind::MissingParameter, "account/c", "parameters.n"));
    REQUIRE(hasFault(faults, Kind::UnknownReference, "server/e", "models[0]"));
    REQUIRE(hasFault(faults, Kind::OutOfRange, "server/e", "slots"));
    REQUIRE(hasFault(faults, Kind::OutOfRange, "server/f", "kind"));
    REQUIRE(hasFault(faults, Kind::MalformedDocument, "model/m", ""));
}

// Guards against accepting a template edit that invalidates client accounts outside the change.
TEST_CASE("A template edit reports every client account that it makes invalid", "[configuration]")
{
    std::vector<ProposedDocument> documents = {DocumentSamples::model(),
                                               DocumentSamples::accountTemplate(false)};
    for (int number = 0; number < 5; ++number)
        documents.push_back(DocumentSamples::account(number, false));
    REQUIRE(findFaults(documents).empty());
    documents[1] = DocumentSamples::accountTemplate(true);
    const auto faults = findFaults(documents);
    REQUIRE(faults.size() == 5);
    for (int number = 0; number < 5; ++number)
        REQUIRE(hasFault(faults, ConfigurationFaultKind::MissingParameter,
                         "account/a" + std::to_string(number), "parameters.rate"));
}

// Guards against one bearer key that belongs to two client accounts.
TEST_CASE("Two client accounts cannot share a key", "[configuration]")
{
    const std::string body =
            R"({"account":{"models":[],"key_digests":[")" + sha256Hex("k") + R"("]}})";
    const auto faults = findFaults({makeProposal("template/shop", body),
                                    makeProposal("account/a", R"({"template":"shop"})"),
                                    makeProposal("account/b", R"({"template":"shop"})")});
    REQUIRE(hasFault(faults, ConfigurationFaultKind::Duplicate, "account/b", "key_digests"));
}

// Guards against an operator's change that overflows the stack when its documents are copied.
TEST_CASE("Deeply nested documents are reported", "[documents][odd]")
{
    for (const std::size_t levels : {std::size_t{100}, std::size_t{250'000}}) {
        const std::string deep = std::string(levels, '[') + std::string(levels, ']');
        std::vector<ConfigurationFault> faults;
        const auto proposals =
                parseProposedDocuments(R"([{"document":"account/a","x":)" + deep + "}]", faults);
        REQUIRE(proposals.empty());
        REQUIRE(faults.size() == 1);
        REQUIRE(faults[0].kind == ConfigurationFaultKind::MalformedDocument);
    }
}
