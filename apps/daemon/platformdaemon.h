#pragma once

#include "platform/platform.h"

#include <memory>
#include <string>

namespace sassafrasyard {

/** One entry host on the users' platform: composes all services, runs until graceful shutdown. */
class PlatformDaemon
{
public:
    /**
     * Creates the services.
     *
     * @param settings must be valid, as returned by readPlatformSettings().
     * @param path the settings file, which is reloaded when it changes.
     */
    PlatformDaemon(PlatformSettings settings, std::string path);
    ~PlatformDaemon();
    PlatformDaemon(const PlatformDaemon &) = delete;
    PlatformDaemon &operator=(const PlatformDaemon &) = delete;

    /** Runs until SIGTERM or SIGINT and the end of active calls. @return the exit code. */
    int run();

private:
    struct Implementation;
    std::unique_ptr<Implementation> implementation;
};

} // namespace sassafrasyard
