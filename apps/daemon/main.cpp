#include "daemon.h"
#include "platformdaemon.h"

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

/** Checks the settings file and, unless isCheckOnly, runs the daemon. @return the exit code. */
int runOnPlatform(const std::string &path, bool isCheckOnly)
{
    std::vector<Error> faults;
    auto settings = readPlatformSettings(path, faults);
    if (!settings) {
        for (const Error &fault : faults)
            std::cerr << fault.detail << '\n';
        return exitUsage;
    }
    if (isCheckOnly)
        return 0;
    startLogging(settings->host.toString(), LogLevel::Info, LogTarget::StandardOutput);
    PlatformDaemon daemon(std::move(*settings), path);
    const int code = daemon.run();
    std::cout.flush();
    // Open callers' coroutines and the services refer to each other, so no order of destruction is
    // safe. Destructors are skipped, and the operating system frees all resources.
    std::quick_exit(code);
}

} // namespace

int main(int argc, char **argv)
{
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    if (arguments.size() == 1 && arguments[0] == "--help") {
        std::cout << settingsHelp();
        return 0;
    }
    const bool isCheckOnly = arguments.size() == 1 && arguments[0] == "--check-settings";
    const auto platformPath = readEnvironment(settingsVariable);
    if (platformPath)
        return runOnPlatform(*platformPath, isCheckOnly);
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
