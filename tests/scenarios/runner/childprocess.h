#pragma once

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

namespace sassafrasyard {

/** A process started by the runner; it never outlives the runner. */
class ChildProcess
{
public:
    /**
     * Describes a process that does not run yet.
     *
     * @param arguments the program's path and its arguments.
     * @param logPath the file that standard output and error are appended to.
     */
    ChildProcess(std::vector<std::string> arguments, std::string logPath);
    /** Kills the process and waits for its end. */
    ~ChildProcess();
    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;

    /** Starts the process. @throws ScenarioError ProcessFailed if it runs or cannot be started. */
    void start();
    /** Sends a signal. @throws ScenarioError ProcessFailed if the process has ended. */
    void sendSignal(int signal);
    /** Sends SIGKILL and waits for the end; does nothing if the process has ended. */
    void kill();
    /** Returns whether the process runs. */
    bool isRunning();
    /** Returns the exit code after a regular end, 128 + n after signal n, nothing before an end. */
    std::optional<int> exitCode();
    /** Returns the last bytes of the log. */
    std::string logTail() const;

private:
    void reap(int options);

    std::vector<std::string> arguments;
    std::string logPath;
    pid_t processId = -1;
    std::optional<int> lastExitCode;
};

} // namespace sassafrasyard
