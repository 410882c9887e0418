#include "daemon.h"

#include <cstdlib>
#include <iostream>
#include <string>
#include <string_view>
#include <vector>

using namespace sassafrasyard;

namespace {

constexpr int exitUsage = 2;

std::optional<std::string> readEnvironment(std::string_view name)
{
    const char *value = std::getenv(std::string(name).c_str());
    return value == nullptr ? std::nullopt : std::optional<std::string>(value);
}

LogLevel toLogLevel(std::string_view name)
{
    if (name == "debug")
        return LogLevel::Debug;
    if (name == "warning")
        return LogLevel::Warning;
    return name == "error" ? LogLevel::Error : LogLevel::Info;
}

} // namespace

int main(int argc, char **argv)
{
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    if (arguments.size() == 1 && arguments[0] == "--help") {
        std::cout << settingsHelp();
        return 0;
    }
    std::vector<Error> faults;
    const auto settings = readSettings(arguments, readEnvironment, faults);
    if (!settings) {
        for (const Error &fault : faults)
            std::cerr << fault.detail << '\n';
        std::cerr << "See sassafrasyardd --help\n";
        return exitUsage;
    }
    startLogging(settings->host.toString(), toLogLevel(settings->logLevel));
    Daemon daemon(*settings);
    return daemon.run();
}
