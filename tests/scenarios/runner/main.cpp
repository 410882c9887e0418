#include "scenarios/runner/scenario.h"
#include "scenarios/runner/scenarioerror.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <getopt.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <optional>
#include <thread>

using namespace sassafrasyard;

namespace {

constexpr int exitHeld = 0;
constexpr int exitConditionFailed = 1;
constexpr int exitFaultyScenario = 2;

constexpr std::string_view usage =
        "Usage: scenario-runner [--programs=DIRECTORY] [--must-fail-at=WORD] [--trace] FILE...\n"
        "Exit code: 0 all conditions held, 1 a condition did not hold, 2 a file is invalid or a\n"
        "process could not be run. With --must-fail-at, exit code 0 means that a condition that\n"
        "begins with WORD did not hold, and 1 that all conditions held or another one did not.\n"
        "--trace prints each statement before it is executed, with the milliseconds since\n"
        "the start.\n";

/** A temporary directory that the destructor removes. */
class TemporaryDirectory
{
public:
    TemporaryDirectory()
    {
        std::string pattern = std::filesystem::temp_directory_path() / "scenario-XXXXXX";
        const char *made = mkdtemp(pattern.data());
        this->path = made == nullptr ? "." : made;
    }
    ~TemporaryDirectory()
    {
        std::error_code ignored;
        if (this->path != ".")
            std::filesystem::remove_all(this->path, ignored);
    }
    TemporaryDirectory(const TemporaryDirectory &) = delete;
    TemporaryDirectory &operator=(const TemporaryDirectory &) = delete;

    std::string path;
};

/** Runs an io_context with all connections of the runner in its own thread. */
class ContextThread
{
public:
    ContextThread()
        : guard(this->context.get_executor())
        , thread([this] { this->context.run(); })
    {
    }
    ~ContextThread() { this->stop(); }
    ContextThread(const ContextThread &) = delete;
    ContextThread &operator=(const ContextThread &) = delete;

    void stop()
    {
        this->context.stop();
        if (this->thread.joinable())
            this->thread.join();
    }

    boost::asio::io_context context{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> guard;
    std::thread thread;
};

void report(const std::string &file, std::size_t line, const ScenarioError &error)
{
    std::cerr << file << ":" << line << ": " << toString(error.code()) << ": " << error.what()
              << '\n';
}

std::vector<std::pair<Statement, std::string>> readFile(const std::string &file, bool &isValid)
{
    std::vector<std::pair<Statement, std::string>> statements;
    std::ifstream input(file);
    if (!input) {
        report(file, 0, ScenarioError(ScenarioErrorCode::FileUnreadable, "cannot be read"));
        isValid = false;
    }
    std::string text;
    for (std::size_t line = 1; std::getline(input, text); ++line) {
        try {
            Statement statement(line, text);
            if (statement.size() == 0)
                continue;
            Scenario::validate(statement);
            statements.emplace_back(std::move(statement), text);
        } catch (const ScenarioError &error) {
            report(file, line, error);
            isValid = false;
        }
    }
    return statements;
}

void trace(Milliseconds start, const std::string &text)
{
    std::cout << (Clock::steady().now() - start).count() << " ms: " << text << std::endl;
}

int runFile(const std::string &file, const std::string &programs, const std::string &mustFailAt,
            bool isTraced)
{
    bool isValid = true;
    const auto statements = readFile(file, isValid);
    if (!isValid)
        return exitFaultyScenario;
    const Milliseconds start = Clock::steady().now();
    const TemporaryDirectory logs;
    ContextThread network;
    std::optional<Scenario> scenario(std::in_place, network.context, programs, logs.path);
    int result = mustFailAt.empty() ? exitHeld : exitConditionFailed;
    for (const auto &[statement, text] : statements) {
        try {
            if (isTraced)
                trace(start, text);
            scenario->run(statement);
        } catch (const ScenarioError &error) {
            report(file, statement.line(), error);
            const bool isExpected = error.isConditionFailure() && !mustFailAt.empty()
                    && statement.size() > 1 && statement.word(1) == mustFailAt;
            if (isExpected)
                result = exitHeld;
            else
                result = error.isConditionFailure() ? exitConditionFailed : exitFaultyScenario;
            if (!isExpected)
                std::cerr << "  " << text << '\n' << scenario->logTails();
            break;
        }
    }
    network.stop();
    scenario.reset();
    std::cout << file << ": " << (result == exitHeld ? "held" : "did not hold") << '\n';
    return result;
}

} // namespace

int main(int argc, char **argv)
{
    std::string programs = std::filesystem::path(argv[0]).parent_path();
    std::string mustFailAt;
    bool isTraced = false;
    const option options[] = {{"programs", required_argument, nullptr, 'p'},
                              {"must-fail-at", required_argument, nullptr, 'f'},
                              {"trace", no_argument, nullptr, 't'},
                              {nullptr, 0, nullptr, 0}};
    int choice = 0;
    while ((choice = getopt_long(argc, argv, "", options, nullptr)) != -1) {
        if (choice == 'p') {
            programs = optarg;
        } else if (choice == 'f') {
            mustFailAt = optarg;
        } else if (choice == 't') {
            isTraced = true;
        } else {
            std::cerr << usage;
            return exitFaultyScenario;
        }
    }
    if (optind == argc) {
        std::cerr << usage;
        return exitFaultyScenario;
    }
    std::signal(SIGPIPE, SIG_IGN);
    int worst = exitHeld;
    for (int index = optind; index < argc; ++index)
        worst = std::max(worst, runFile(argv[index], programs, mustFailAt, isTraced));
    return worst;
}
