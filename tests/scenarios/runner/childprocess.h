#pragma once

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

namespace sassafrasyard {

/** A child process of the runner. The kernel kills it if the runner ends. */
class ChildProcess
{
public:
    /**
     * Describes a process without starting it.
     *
     * @param arguments the program's path and its arguments.
     * @param logPath the file to which standard output and standard error are appended.
     */
    ChildProcess(std::vector<std::string> arguments, std::string logPath);
    /** Kills the process and waits until it has ended. */
    ~ChildProcess();
    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;

    /** Starts the process. @throws ScenarioError ProcessFailed if it is running or fork fails. */
    void start();
    /** Sends a signal. @throws ScenarioError ProcessFailed if the process is not running. */
    void sendSignal(int signal);
    /** Sends SIGKILL and waits until the process has ended; does nothing if it is not running. */
    void kill();
    /** Returns whether the process is running; a stopped (SIGSTOP) process counts as running. */
    bool isRunning();
    /** Returns the exit code, 128 + n if signal n ended the process, or nothing while it runs. */
    std::optional<int> exitCode();
    /** Returns at most the last 3,000 bytes of the log. */
    std::string logTail() const;

private:
    void reap(int options);

    std::vector<std::string> arguments;
    std::string logPath;
    pid_t processId = -1;
    std::optional<int> lastExitCode;
};

} // namespace sassafrasyard
