#pragma once

#include "core/core.h"

#include <optional>
#include <string>

#include <sys/types.h>

namespace sassafrasyard {

/**
 * A sassafrasyardd process that serves with a settings file; killed when the object is destroyed.
 *
 * The environment variable SASSAFRASYARDD_UNDER_TEST names another program, such as that of an
 * earlier commit.
 */
class DaemonProcess
{
public:
    /**
     * Starts the daemon.
     *
     * @param settingsPath the settings file of the users' platform.
     * @param logPath receives what the daemon prints.
     */
    DaemonProcess(const std::string &settingsPath, const std::string &logPath);
    ~DaemonProcess();
    DaemonProcess(const DaemonProcess &) = delete;
    DaemonProcess &operator=(const DaemonProcess &) = delete;

    /** Sends a signal, unless the process has ended. */
    void signal(int number);

    /** Returns whether the process has ended. */
    bool hasEnded();

    /** Returns the exit status, or nothing if the process runs or was ended by a signal. */
    std::optional<int> exitStatus();

private:
    pid_t process = -1;
    bool isEnded = false;
    int waitStatus = 0;
};

} // namespace sassafrasyard
