#pragma once

#include "scenarios/runner/fleet.h"
#include "scenarios/runner/plaincaller.h"
#include "scenarios/runner/statement.h"
#include "scenarios/runner/streamcaller.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace sassafrasyard {

/** Carries out the statements of one scenario. */
class Scenario
{
public:
    /** Creates a scenario without processes. @param context runs in another thread. */
    Scenario(boost::asio::io_context &context, std::string programs, std::string logs);
    Scenario(const Scenario &) = delete;
    Scenario &operator=(const Scenario &) = delete;

    /** Checks a statement's name, number of words and options. @throws ScenarioError. */
    static void validate(const Statement &statement);
    /** Carries out a statement. @throws ScenarioError. */
    void run(const Statement &statement);
    /** Returns the ends of all processes' logs. */
    std::string logTails() const;

private:
    /** Whether a condition holds, and what was seen instead. */
    struct Verdict
    {
        bool holds = false;
        std::string seen;
    };

    struct Command;
    static const std::vector<Command> &commands();
    static const Command &commandFor(const Statement &statement);

    void runSignal(const Statement &statement);
    void runRelayFault(const Statement &statement);
    void runConfigure(const Statement &statement);
    void runPlatformFault(const Statement &statement);
    void runServiceMode(const Statement &statement);
    void runOrder(const Statement &statement);
    void runStream(const Statement &statement);
    void runResume(const Statement &statement);
    void runCall(const Statement &statement);
    void runRetry(const Statement &statement);
    void runAwait(const Statement &statement);
    void runCheck(const Statement &statement);
    void runThroughout(const Statement &statement);
    void runHold(const Statement &statement);

    Verdict evaluate(const Statement &condition);
    Verdict evaluateStream(const Statement &condition);
    Verdict evaluateCall(const Statement &condition);
    Verdict evaluateRuns(const Statement &condition);
    Verdict evaluateAddresses(const Statement &condition);
    Verdict evaluateMember(const Statement &condition);
    Verdict evaluateRevision(const Statement &condition);
    Verdict evaluateProcess(const Statement &condition);
    Verdict evaluateRelay(const Statement &condition);
    Verdict evaluateMetric(const Statement &condition);

    HttpResponse ask(const Endpoint &endpoint, const HttpRequest &request,
                     const std::string &purpose);
    std::string bindingOf(const std::string &host, const std::string &via);
    StreamCaller &stream(const std::string &name);
    PlainCaller &call(const std::string &name);
    void requireFreeName(const std::string &name) const;

    boost::asio::io_context &context;
    Fleet fleet;
    std::map<std::string, std::shared_ptr<StreamCaller>> streams;
    std::map<std::string, std::shared_ptr<PlainCaller>> calls;
};

} // namespace sassafrasyard
