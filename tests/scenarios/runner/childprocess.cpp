#include "scenarios/runner/childprocess.h"

#include "scenarios/runner/scenarioerror.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <fstream>
#include <iterator>

namespace sassafrasyard {

namespace {

constexpr std::size_t logTailBytes = 3000;
constexpr int signalExitBase = 128;
constexpr int exitExecFailed = 127;
constexpr int logMode = 0644;

} // namespace

ChildProcess::ChildProcess(std::vector<std::string> arguments, std::string logPath)
    : arguments(std::move(arguments))
    , logPath(std::move(logPath))
{
}

ChildProcess::~ChildProcess()
{
    this->kill();
}

void ChildProcess::start()
{
    if (this->isRunning())
        throw ScenarioError(ScenarioErrorCode::ProcessFailed, "the process is already running");
    std::vector<char *> pointers;
    for (std::string &argument : this->arguments)
        pointers.push_back(argument.data());
    pointers.push_back(nullptr);
    this->lastExitCode.reset();
    const pid_t parent = getpid();
    const pid_t child = fork();
    if (child < 0)
        throw ScenarioError(ScenarioErrorCode::ProcessFailed, "fork failed");
    if (child == 0) {
        // Between fork and exec only async-signal-safe calls are allowed.
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (getppid() != parent)
            _exit(exitExecFailed);
        const int log = open(this->logPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, logMode);
        dup2(log, STDOUT_FILENO);
        dup2(log, STDERR_FILENO);
        execv(pointers[0], pointers.data());
        _exit(exitExecFailed);
    }
    this->processId = child;
}

void ChildProcess::sendSignal(int signal)
{
    if (!this->isRunning())
        throw ScenarioError(ScenarioErrorCode::ProcessFailed, "the process is not running");
    ::kill(this->processId, signal);
}

void ChildProcess::kill()
{
    if (!this->isRunning())
        return;
    ::kill(this->processId, SIGKILL);
    this->reap(0);
}

bool ChildProcess::isRunning()
{
    this->reap(WNOHANG);
    return this->processId > 0;
}

std::optional<int> ChildProcess::exitCode()
{
    this->reap(WNOHANG);
    return this->lastExitCode;
}

std::string ChildProcess::logTail() const
{
    std::ifstream file(this->logPath);
    std::string text{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
    if (text.size() > logTailBytes)
        text.erase(0, text.size() - logTailBytes);
    return text;
}

void ChildProcess::reap(int options)
{
    if (this->processId <= 0)
        return;
    int status = 0;
    if (waitpid(this->processId, &status, options) != this->processId)
        return;
    this->processId = -1;
    this->lastExitCode =
            WIFEXITED(status) ? WEXITSTATUS(status) : signalExitBase + WTERMSIG(status);
}

} // namespace sassafrasyard
