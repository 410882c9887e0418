#include "commandline.h"

#include <getopt.h>

#include <array>
#include <cctype>

namespace sassafrasyard {

namespace {

struct FlagDefinition
{
    const char *name;
    std::string CommandLine::*target;
    std::string_view help;
};

constexpr std::array flags = {
        FlagDefinition{"admin-address", &CommandLine::adminAddress,
                       "IP:port of the admin API of any entry host"},
        FlagDefinition{"operator-token", &CommandLine::operatorToken, "the operators' token"},
        FlagDefinition{"output", &CommandLine::output, "table (default) or json"},
        FlagDefinition{"file", &CommandLine::file, "JSON list of documents, - for standard input"},
        FlagDefinition{"change", &CommandLine::change,
                       "change identifier; repeat it to learn whether a change took effect"},
        FlagDefinition{"author", &CommandLine::author, "who makes the change"},
        FlagDefinition{"comment", &CommandLine::comment, "why"},
        FlagDefinition{"base", &CommandLine::base,
                       "revision that the change is based on; default: the current one"},
        FlagDefinition{"model", &CommandLine::model, "model of a rollout"},
        FlagDefinition{"version", &CommandLine::version, "new version of a rollout"},
        FlagDefinition{"servers", &CommandLine::servers,
                       "backend servers of a rollout in order, separated by commas; default: all "
                       "that serve the model"},
        FlagDefinition{"parallel", &CommandLine::parallel,
                       "share of backend servers changed at a time, 0.01 to 1; default 0.1"},
        FlagDefinition{"slowdown", &CommandLine::slowdown,
                       "increase of the time per token that stops a rollout; default 1.5"},
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

} // namespace

std::optional<CommandLine> parseCommandLine(std::span<const std::string> arguments,
                                            const EnvironmentHook &environment,
                                            std::string &problem)
{
    CommandLine line;
    for (const FlagDefinition &flag : flags)
        line.*flag.target = environment(environmentName(flag.name)).value_or(line.*flag.target);
    std::vector<option> options;
    for (const FlagDefinition &flag : flags)
        options.push_back({flag.name, required_argument, nullptr, 0});
    options.push_back({"help", no_argument, nullptr, 'h'});
    options.push_back({nullptr, 0, nullptr, 0});
    std::vector<std::string> argumentCopies{"sassafrasyardctl"};
    argumentCopies.insert(argumentCopies.end(), arguments.begin(), arguments.end());
    std::vector<char *> pointers;
    for (std::string &argument : argumentCopies)
        pointers.push_back(argument.data());
    pointers.push_back(nullptr);
    const int count = static_cast<int>(argumentCopies.size());
    optind = 0;
    opterr = 0;
    int index = 0;
    int result = 0;
    while ((result = getopt_long(count, pointers.data(), ":f:h", options.data(), &index)) != -1) {
        if (result == 'h') {
            line.isHelp = true;
        } else if (result == 'f') {
            line.file = optarg;
        } else if (result == 0) {
            line.*flags[static_cast<std::size_t>(index)].target = optarg;
        } else {
            // The value is omitted because it may be the operator token.
            const std::string_view flag = pointers[static_cast<std::size_t>(optind - 1)];
            problem =
                    "unknown flag or missing value: " + std::string(flag.substr(0, flag.find('=')));
            return std::nullopt;
        }
    }
    for (int rest = optind; rest < count; ++rest)
        line.arguments.emplace_back(pointers[static_cast<std::size_t>(rest)]);
    if (line.output != "table" && line.output != "json") {
        problem = "--output is neither table nor json";
        return std::nullopt;
    }
    return line;
}

std::string commandLineHelp()
{
    std::string text = "Usage: sassafrasyardctl [FLAGS] COMMAND\n\n"
                       "  validate            check documents against the configuration in force\n"
                       "  diff                show what documents would change\n"
                       "  apply               change all documents atomically\n"
                       "  history             show the last changes\n"
                       "  dump                print all documents in the format of apply\n"
                       "  status              show the hosts and the revision each one runs\n"
                       "  addresses           show the addresses that callers may use\n"
                       "  state               print one host's state dump\n"
                       "  drain SERVER        send no new requests to a backend server\n"
                       "  undrain SERVER      send new requests to it again\n"
                       "  rollout start       move a model to --version\n"
                       "  rollout status [NAME], rollout stop NAME, rollout resume NAME\n\n"
                       "Every flag can also be set by the environment variable in parentheses.\n\n";
    for (const FlagDefinition &flag : flags)
        text += "  --" + std::string(flag.name) + " (" + environmentName(flag.name) + ")\n      "
                + std::string(flag.help) + "\n";
    text += "  -f FILE is short for --file=FILE\n\n"
            "Exit codes: 0 done, 1 refused or invalid, 2 wrong usage, 3 conflict with another\n"
            "change, 4 not reachable or unavailable (nothing was done), 5 outcome unknown.\n";
    return text;
}

} // namespace sassafrasyard
