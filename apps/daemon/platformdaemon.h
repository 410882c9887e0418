#pragma once

#include "platform/platform.h"

#include <memory>
#include <string>

namespace sassafrasyard {

/** One entry host on the users' platform: composes all services and runs until a planned stop. */
class PlatformDaemon
{
public:
    /**
     * Creates the services.
     *
     * @param settings have been checked.
     * @param path the settings file, which is read again when it changes.
     */
    PlatformDaemon(PlatformSettings settings, std::string path);
    ~PlatformDaemon();
    PlatformDaemon(const PlatformDaemon &) = delete;
    PlatformDaemon &operator=(const PlatformDaemon &) = delete;

    /** Runs until SIGTERM or SIGINT and the end of all calls. @return the exit code. */
    int run();

private:
    struct Implementation;
    std::unique_ptr<Implementation> implementation;
};

} // namespace sassafrasyard
