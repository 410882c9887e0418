#include "daemonprocess.h"

#include "platform/platform.h"

#include <csignal>
#include <cstdlib>
#include <stdexcept>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace sassafrasyard {

namespace {

constexpr int exitNotStarted = 127;

[[noreturn]] void runDaemon(const std::string &settingsPath, const std::string &logPath)
{
    constexpr unsigned firstInherited = 3;
    constexpr mode_t logMode = 0600;
    const int log = ::open(logPath.c_str(), O_WRONLY | O_CREAT | O_TRUNC, logMode);
    ::dup2(log, STDOUT_FILENO);
    ::dup2(log, STDERR_FILENO);
    // Listening sockets of the stand-ins must not stay open in the daemon.
    ::close_range(firstInherited, ~0U, 0);
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    ::setenv(std::string(settingsVariable).c_str(), settingsPath.c_str(), 1);
    const char *other = ::getenv("SASSAFRASYARDD_UNDER_TEST");
    const char *program = other != nullptr ? other : SASSAFRASYARDD_PATH;
    ::execl(program, program, static_cast<char *>(nullptr));
    ::_exit(exitNotStarted);
}

} // namespace

DaemonProcess::DaemonProcess(const std::string &settingsPath, const std::string &logPath)
    : process(::fork())
{
    if (this->process < 0)
        throw std::runtime_error("cannot fork");
    if (this->process == 0)
        runDaemon(settingsPath, logPath);
}

DaemonProcess::~DaemonProcess()
{
    if (this->hasEnded())
        return;
    ::kill(this->process, SIGKILL);
    ::waitpid(this->process, nullptr, 0);
}

void DaemonProcess::signal(int number)
{
    if (!this->hasEnded())
        ::kill(this->process, number);
}

bool DaemonProcess::hasEnded()
{
    if (!this->isEnded)
        this->isEnded = ::waitpid(this->process, &this->waitStatus, WNOHANG) == this->process;
    return this->isEnded;
}

std::optional<int> DaemonProcess::exitStatus()
{
    if (!this->hasEnded() || !WIFEXITED(this->waitStatus))
        return std::nullopt;
    return WEXITSTATUS(this->waitStatus);
}

} // namespace sassafrasyard
