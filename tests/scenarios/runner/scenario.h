#pragma once

#include "scenarios/runner/fleet.h"
#include "scenarios/runner/servicecaller.h"
#include "scenarios/runner/statement.h"
#include "scenarios/runner/streamcaller.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace sassafrasyard {

/** Executes the statements of one scenario. */
class Scenario
{
public:
    /** Creates a scenario without processes. @param context must run in another thread. */
    Scenario(boost::asio::io_context &context, std::string programDirectory,
             std::string logDirectory);
    Scenario(const Scenario &) = delete;
    Scenario &operator=(const Scenario &) = delete;

    /** Checks a statement's name, number of words, options and durations. @throws ScenarioError. */
    static void validate(const Statement &statement);
    /** Executes a statement and blocks until it is complete. @throws ScenarioError. */
    void run(const Statement &statement);
    /** Returns the last lines of the logs of all processes. */
    std::string logTails() const;

private:
    /** Whether a condition holds, and a description of what was observed. */
    struct ConditionResult
    {
        bool holds = false;
        std::string observed;
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

    ConditionResult evaluate(const Statement &condition);
    ConditionResult evaluateStream(const Statement &condition);
    ConditionResult evaluateCall(const Statement &condition);
    ConditionResult evaluateRuns(const Statement &condition);
    ConditionResult evaluateAddresses(const Statement &condition);
    ConditionResult evaluateMember(const Statement &condition);
    ConditionResult evaluateRevision(const Statement &condition);
    ConditionResult evaluateProcess(const Statement &condition);
    ConditionResult evaluateRelay(const Statement &condition);
    ConditionResult evaluateMetric(const Statement &condition);

    HttpResponse sendRequest(const Endpoint &endpoint, const HttpRequest &request,
                             const std::string &purpose);
    std::string incarnationOf(const std::string &host, const std::string &via);
    StreamCaller &stream(const std::string &name);
    ServiceCaller &call(const std::string &name);
    void requireUnusedName(const std::string &name) const;

    boost::asio::io_context &context;
    Fleet fleet;
    std::map<std::string, std::shared_ptr<StreamCaller>> streams;
    std::map<std::string, std::shared_ptr<ServiceCaller>> calls;
};

} // namespace sassafrasyard
