#include "commands.h"

#include <cstdlib>
#include <iostream>

using namespace sassafrasyard;

namespace {

std::optional<std::string> readEnvironment(std::string_view name)
{
    const char *value = std::getenv(std::string(name).c_str());
    return value == nullptr ? std::nullopt : std::optional<std::string>(value);
}

} // namespace

int main(int argc, char **argv)
{
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    std::string problem;
    const auto line = parseCommandLine(arguments, readEnvironment, problem);
    if (!line) {
        std::cerr << problem << "\nSee sassafrasyardctl --help\n";
        return static_cast<int>(ExitCode::Usage);
    }
    if (line->isHelp) {
        std::cout << commandLineHelp();
        return static_cast<int>(ExitCode::Done);
    }
    AdminClient client(line->adminAddress, line->operatorToken);
    Commands commands(*line, client, std::cout, std::cerr);
    return static_cast<int>(commands.run());
}
