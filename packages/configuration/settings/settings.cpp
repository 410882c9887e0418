#include "configuration/settings/settings.h"

#include <getopt.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>

namespace sassafrasyard {

namespace {

struct SettingDefinition
{
    const char *flag;
    std::string_view help;
    bool isRequired;
    void (*assign)(Settings &settings, const std::string &value);
};

void assignJoinAddresses(Settings &settings, const std::string &value)
{
    std::string_view rest = value;
    while (!rest.empty()) {
        const std::string_view item = rest.substr(0, rest.find(','));
        rest.remove_prefix(std::min(rest.size(), item.size() + 1));
        if (!item.empty())
            settings.joinAddresses.emplace_back(item);
    }
}

void assignIoThreads(Settings &settings, const std::string &value)
{
    settings.ioThreads = 0;
    std::from_chars(value.data(), value.data() + value.size(), settings.ioThreads);
}

constexpr std::array definitions = {
        SettingDefinition{"host", "name of this host", true,
                          [](Settings &s, const std::string &v) {
                              s.host = HostName(v);
                          }},
        SettingDefinition{"failure-domain", "failure domain of this host", true,
                          [](Settings &s, const std::string &v) {
                              s.failureDomain = FailureDomainName(v);
                          }},
        SettingDefinition{"region", "region of this host", true,
                          [](Settings &s, const std::string &v) {
                              s.region = v;
                          }},
        SettingDefinition{"caller-address", "IP:port for callers", true,
                          [](Settings &s, const std::string &v) {
                              s.callerAddress = v;
                          }},
        SettingDefinition{"peer-address", "IP:port for other entry hosts", true,
                          [](Settings &s, const std::string &v) {
                              s.peerAddress = v;
                          }},
        SettingDefinition{"admin-address", "IP:port for operators", true,
                          [](Settings &s, const std::string &v) {
                              s.adminAddress = v;
                          }},
        SettingDefinition{"platform-address", "IP:port of the platform's object API", true,
                          [](Settings &s, const std::string &v) {
                              s.platformAddress = v;
                          }},
        SettingDefinition{"join", "peers to join, IP:port, separated by commas", false,
                          assignJoinAddresses},
        SettingDefinition{"position-secret", "secret for stream positions, 16 characters or more",
                          true,
                          [](Settings &s, const std::string &v) {
                              s.positionSecret = v;
                          }},
        SettingDefinition{"operator-token", "bearer token of operators, 16 characters or more",
                          true,
                          [](Settings &s, const std::string &v) {
                              s.operatorToken = v;
                          }},
        SettingDefinition{"placement", "estimated, prompt-queue, least-outstanding or round-robin",
                          false,
                          [](Settings &s, const std::string &v) {
                              s.placement = v;
                          }},
        SettingDefinition{"io-threads", "threads for input and output, 1 to 64", false,
                          assignIoThreads},
        SettingDefinition{"log-level", "debug, info, warning or error", false,
                          [](Settings &s, const std::string &v) {
                              s.logLevel = v;
                          }},
};

std::string environmentName(std::string_view flag)
{
    std::string name = "SASSAFRASYARD_";
    for (const char character : flag)
        name.push_back(character == '-' ? '_'
                                        : static_cast<char>(std::toupper(
                                                static_cast<unsigned char>(character))));
    return name;
}

Error makeFault(std::string_view flag, std::string_view problem)
{
    return {ErrorCode::SettingInvalid,
            RunState::NotRun,
            "--" + std::string(flag) + " (" + environmentName(flag) + "): " + std::string(problem),
            {}};
}

bool isAddress(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0)
        return false;
    const std::string_view digits = text.substr(colon + 1);
    unsigned port = 0;
    const auto [end, code] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    return code == std::errc() && end == digits.data() + digits.size() && port <= 65535;
}

void checkAddress(std::string_view flag, const std::string &value, std::vector<Error> &faults)
{
    if (!value.empty() && !isAddress(value))
        faults.push_back(makeFault(flag, "not of the form IP:port"));
}

void checkSecret(std::string_view flag, const std::string &value, std::vector<Error> &faults)
{
    constexpr std::size_t minimumSecretLength = 16;
    if (!value.empty() && value.size() < minimumSecretLength)
        faults.push_back(makeFault(flag, "shorter than 16 characters"));
}

void checkChoice(std::string_view flag, const std::string &value,
                 std::initializer_list<std::string_view> choices, std::vector<Error> &faults)
{
    if (std::find(choices.begin(), choices.end(), value) == choices.end())
        faults.push_back(makeFault(flag, "not one of the allowed values"));
}

void checkSettings(const Settings &settings, std::vector<Error> &faults)
{
    constexpr int maximumThreads = 64;
    checkAddress("caller-address", settings.callerAddress, faults);
    checkAddress("peer-address", settings.peerAddress, faults);
    checkAddress("admin-address", settings.adminAddress, faults);
    checkAddress("platform-address", settings.platformAddress, faults);
    for (const std::string &address : settings.joinAddresses)
        checkAddress("join", address, faults);
    checkSecret("position-secret", settings.positionSecret, faults);
    checkSecret("operator-token", settings.operatorToken, faults);
    checkChoice("placement", settings.placement,
                {"estimated", "prompt-queue", "least-outstanding", "round-robin"}, faults);
    checkChoice("log-level", settings.logLevel, {"debug", "info", "warning", "error"}, faults);
    if (settings.ioThreads < 1 || settings.ioThreads > maximumThreads)
        faults.push_back(makeFault("io-threads", "not a number from 1 to 64"));
}

/** Returns the flag without its value, because the value may be a secret. */
std::string flagName(std::string_view argument)
{
    return std::string(argument.substr(0, argument.find('=')));
}

/** Parses the flags. @return one optional value per definition. */
std::array<std::optional<std::string>, definitions.size()> parseFlags(
        std::span<const std::string> arguments, std::vector<Error> &faults)
{
    std::array<std::optional<std::string>, definitions.size()> values;
    std::vector<option> options;
    for (const SettingDefinition &definition : definitions)
        options.push_back({definition.flag, required_argument, nullptr, 0});
    options.push_back({nullptr, 0, nullptr, 0});
    std::vector<std::string> argumentTexts{"sassafrasyardd"};
    argumentTexts.insert(argumentTexts.end(), arguments.begin(), arguments.end());
    std::vector<char *> argumentPointers;
    for (std::string &text : argumentTexts)
        argumentPointers.push_back(text.data());
    argumentPointers.push_back(nullptr);
    const int count = static_cast<int>(argumentTexts.size());
    optind = 0;
    opterr = 0;
    int index = 0;
    int result = 0;
    while ((result = getopt_long(count, argumentPointers.data(), ":", options.data(), &index))
           != -1) {
        if (result == 0) {
            values[static_cast<std::size_t>(index)] = optarg;
        } else {
            faults.push_back(
                    {ErrorCode::SettingInvalid,
                     RunState::NotRun,
                     "unknown flag or missing value: "
                             + flagName(argumentPointers[static_cast<std::size_t>(optind - 1)]),
                     {}});
        }
    }
    for (int rest = optind; rest < count; ++rest)
        faults.push_back({ErrorCode::SettingInvalid,
                          RunState::NotRun,
                          // The argument is not quoted: after a stray space it may be a secret.
                          "unexpected argument at the end of the command line, number "
                                  + std::to_string(rest - optind + 1),
                          {}});
    return values;
}

} // namespace

std::optional<Settings> readSettings(std::span<const std::string> arguments,
                                     const EnvironmentReader &environment,
                                     std::vector<Error> &faults)
{
    Settings settings;
    const auto values = parseFlags(arguments, faults);
    for (std::size_t index = 0; index < definitions.size(); ++index) {
        const SettingDefinition &definition = definitions[index];
        auto value = values[index];
        if (!value)
            value = environment(environmentName(definition.flag));
        if (value && !value->empty())
            definition.assign(settings, *value);
        else if (definition.isRequired)
            faults.push_back(makeFault(definition.flag, "missing"));
    }
    checkSettings(settings, faults);
    if (!faults.empty())
        return std::nullopt;
    return settings;
}

std::string settingsHelp()
{
    std::string text =
            "Usage: sassafrasyardd FLAGS\n\nEvery flag can also be set by the environment "
            "variable in parentheses; the flag wins.\n\n";
    for (const SettingDefinition &definition : definitions) {
        text += "  --" + std::string(definition.flag) + " (" + environmentName(definition.flag)
                + ")\n      " + std::string(definition.help)
                + (definition.isRequired ? " (required)" : "") + "\n";
    }
    return text;
}

} // namespace sassafrasyard
