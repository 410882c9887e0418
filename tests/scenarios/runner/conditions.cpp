#include "scenarios/runner/scenario.h"
#include "scenarios/runner/scenarioerror.h"
#include "scenarios/runner/streamcheck.h"

#include <nlohmann/json.hpp>

#include <functional>

namespace sassafrasyard {

using nlohmann::json;
using StreamState = StreamRecord::State;

namespace {

constexpr Milliseconds requestTimeout{2000};
constexpr std::string_view wildcardSuffix = "*";

[[noreturn]] void rejectCondition(const std::string &word)
{
    throw ScenarioError(ScenarioErrorCode::InvalidArgument, "unknown condition: " + word);
}

/** Returns the callers with a given name, or with a given prefix if the pattern ends with "*". */
template <typename Caller>
std::vector<std::pair<std::string, std::shared_ptr<Caller>>> matching(
        const std::map<std::string, std::shared_ptr<Caller>> &callers, const std::string &pattern)
{
    const bool isPrefix = pattern.ends_with(wildcardSuffix);
    const std::string_view prefix = std::string_view(pattern).substr(
            0, pattern.size() - (isPrefix ? wildcardSuffix.size() : 0));
    std::vector<std::pair<std::string, std::shared_ptr<Caller>>> found;
    for (const auto &[name, caller] : callers) {
        if (name == pattern || (isPrefix && name.starts_with(prefix)))
            found.emplace_back(name, caller);
    }
    if (found.empty())
        throw ScenarioError(ScenarioErrorCode::UnknownName, "nothing is called " + pattern);
    return found;
}

std::string_view stateName(StreamState state)
{
    switch (state) {
    case StreamState::Open:
        return "open";
    case StreamState::Done:
        return "done";
    case StreamState::Lost:
        return "lost";
    case StreamState::Refused:
        return "refused";
    case StreamState::Broken:
        return "broken";
    }
    return "broken";
}

std::string describe(const StreamRecord &record)
{
    return std::string(stateName(record.state)) + " with " + std::to_string(record.tokens.size())
            + " tokens, status " + std::to_string(record.status) + " " + record.code + " "
            + record.runState + " " + record.detail;
}

std::string describe(const ServiceCallRecord &record)
{
    if (!record.hasEnded)
        return "no answer yet";
    if (!record.response)
        return "no answer: " + record.detail;
    return "status " + std::to_string(record.response->status) + " " + record.response->body;
}

bool streamMatches(const StreamRecord &record, const HttpRequest &request,
                   const Statement &condition, std::string &observed)
{
    const json body = json::parse(request.body);
    const std::uint64_t length = body["max_tokens"];
    const std::string &word = condition.word(2);
    observed = describe(record);
    if (word == "has")
        return record.tokens.size() >= condition.number(3);
    if (word == "fewer-than")
        return record.tokens.size() < condition.number(3);
    if (word == "ended")
        return record.state != StreamState::Open;
    if (word == "told-to-move")
        return record.hasDrainingEvent;
    if (word == "error")
        return record.code == condition.word(3) && record.runState == condition.word(4);
    if (word != "exact" && word != "sound")
        return stateName(record.state) == word;
    const std::string fault = findTokenFault(record, body["seed"]);
    observed += "; " + fault;
    if (word == "sound")
        return fault.empty();
    return fault.empty() && record.state == StreamState::Done && record.tokens.size() == length
            && record.reportedTokens == length;
}

bool callMatches(const ServiceCallRecord &record, const Statement &condition, std::string &observed)
{
    const std::string &word = condition.word(2);
    observed = describe(record);
    if (word == "ended")
        return record.hasEnded;
    if (word == "pending")
        return !record.hasEnded;
    if (word == "broken")
        return record.hasEnded && !record.response;
    if (!record.response)
        return false;
    if (word == "ok")
        return record.response->status == 200;
    if (word == "replayed") {
        return record.response->status == 200
                && findHeader(record.response->headers, "Sassafrasyard-Replayed").has_value();
    }
    if (word == "error")
        return record.code == condition.word(3) && record.runState == condition.word(4);
    if (word == "run-state")
        return record.runState == condition.word(3);
    rejectCondition(word);
}

bool satisfiesRelation(double value, const std::string &relation, std::uint64_t limit)
{
    const auto bound = static_cast<double>(limit);
    if (relation == "exactly")
        return value == bound;
    if (relation == "at-least")
        return value >= bound;
    if (relation == "at-most")
        return value <= bound;
    rejectCondition(relation);
}

std::string requestPrefix(const std::string &kind)
{
    if (kind == "start")
        return "POST /v1/completions";
    if (kind == "resume")
        return "POST /v1/generations/";
    return kind;
}

} // namespace

Scenario::ConditionResult Scenario::evaluate(const Statement &condition)
{
    using Evaluator = ConditionResult (Scenario::*)(const Statement &);
    static const std::map<std::string, Evaluator> evaluators = {
            {"stream", &Scenario::evaluateStream},   {"call", &Scenario::evaluateCall},
            {"runs", &Scenario::evaluateRuns},       {"host", &Scenario::evaluateAddresses},
            {"member", &Scenario::evaluateMember},   {"revision", &Scenario::evaluateRevision},
            {"process", &Scenario::evaluateProcess}, {"requests", &Scenario::evaluateRelay},
            {"faults", &Scenario::evaluateRelay},    {"metric", &Scenario::evaluateMetric},
    };
    if (condition.word(0) == "not") {
        ConditionResult result = this->evaluate(condition.subStatement(1, condition.size() - 1));
        result.holds = !result.holds;
        return result;
    }
    const auto known = evaluators.find(condition.word(0));
    if (known == evaluators.end())
        rejectCondition(condition.word(0));
    return (this->*known->second)(condition);
}

Scenario::ConditionResult Scenario::evaluateStream(const Statement &condition)
{
    for (const auto &[name, caller] : matching(this->streams, condition.word(1))) {
        std::string observed;
        if (!streamMatches(caller->record(), caller->request(), condition, observed))
            return {false, observed.insert(0, name + ": ")};
    }
    return {true, "all streams " + condition.word(1)};
}

Scenario::ConditionResult Scenario::evaluateCall(const Statement &condition)
{
    for (const auto &[name, caller] : matching(this->calls, condition.word(1))) {
        std::string observed;
        if (!callMatches(caller->record(), condition, observed))
            return {false, observed.insert(0, name + ": ")};
    }
    return {true, "all calls " + condition.word(1)};
}

Scenario::ConditionResult Scenario::evaluateRuns(const Statement &condition)
{
    HttpRequest request;
    request.target = "/runs";
    const FleetProcess &service = this->fleet.process(condition.word(1), ProcessKind::Service);
    const HttpResponse response = this->sendRequest(service.endpoint, request, "runs");
    const std::uint64_t count =
            json::parse(response.body).value(condition.word(2), std::uint64_t{0});
    return {satisfiesRelation(static_cast<double>(count), condition.word(3), condition.number(4)),
            std::to_string(count) + " runs"};
}

Scenario::ConditionResult Scenario::evaluateAddresses(const Statement &condition)
{
    const std::string &word = condition.word(2);
    if (word != "listed" && word != "unlisted")
        rejectCondition(word);
    HttpRequest request;
    request.target = "/v1/addresses";
    request.headers.emplace_back("Authorization", "Bearer key-first");
    Error reason;
    const auto response = requestAndWait(this->context, this->fleet.endpoint(condition.word(3)),
                                         request, requestTimeout, reason);
    if (!response || response->status != 200)
        return {false, response ? response->body : reason.detail};
    bool isListed = false;
    const json body = json::parse(response->body);
    for (const json &entry : body["addresses"])
        isListed = isListed || entry["host"] == condition.word(1);
    return {isListed == (word == "listed"), response->body};
}

Scenario::ConditionResult Scenario::evaluateMember(const Statement &condition)
{
    const json dump = this->fleet.dump(condition.word(3));
    if (!dump.is_object())
        return {false, "the host returned no state dump"};
    ConditionResult result{false, dump["members"].dump()};
    for (const json &member : dump["members"]) {
        result.holds = result.holds
                || (member["host"] == condition.word(1) && member["state"] == condition.word(4));
    }
    return result;
}

Scenario::ConditionResult Scenario::evaluateRevision(const Statement &condition)
{
    const std::string &where = condition.word(1);
    const std::vector<std::string> hosts =
            where == "all" ? this->fleet.runningHosts() : std::vector<std::string>{where};
    for (const std::string &host : hosts) {
        const json dump = this->fleet.dump(host);
        if (!dump.is_object())
            return {false, host + " returned no state dump"};
        const std::uint64_t revision = dump["revision"];
        if (!satisfiesRelation(static_cast<double>(revision), condition.word(2),
                               condition.number(3)))
            return {false, host + " has the revision " + std::to_string(revision)};
    }
    return {true, "revision on " + where};
}

Scenario::ConditionResult Scenario::evaluateProcess(const Statement &condition)
{
    ChildProcess &process = *this->fleet.process(condition.word(1)).process;
    const std::optional<int> code = process.exitCode();
    const std::string observed =
            process.isRunning() ? "running" : "exit code " + std::to_string(code.value_or(-1));
    if (condition.word(2) == "running")
        return {process.isRunning(), observed};
    if (condition.word(2) != "exited")
        rejectCondition(condition.word(2));
    return {code && static_cast<std::uint64_t>(*code) == condition.number(3), observed};
}

Scenario::ConditionResult Scenario::evaluateRelay(const Statement &condition)
{
    const FaultRelay &relay = this->fleet.relay(condition.word(1));
    if (condition.word(0) == "faults") {
        const std::size_t count = relay.appliedFaultCount();
        return {satisfiesRelation(static_cast<double>(count), condition.word(2),
                                  condition.number(3)),
                std::to_string(count) + " faults"};
    }
    const std::size_t count = relay.countRequests(requestPrefix(condition.word(2)));
    return {satisfiesRelation(static_cast<double>(count), condition.word(3), condition.number(4)),
            std::to_string(count) + " requests"};
}

Scenario::ConditionResult Scenario::evaluateMetric(const Statement &condition)
{
    const double value = this->fleet.metric(condition.word(1), condition.word(2));
    return {satisfiesRelation(value, condition.word(3), condition.number(4)),
            std::to_string(value)};
}

} // namespace sassafrasyard
