#include "callresult.h"

#include <nlohmann/json.hpp>

#include <cstdlib>

namespace sassafrasyard {

namespace {

constexpr int successStatus = 200;
constexpr int badGatewayStatus = 502;
constexpr int unavailableStatus = 503;
constexpr int timeoutStatus = 504;
/** Other hosts take a refused call at once, in seconds. */
constexpr double maximumRetryAfter = 0.5;

} // namespace

std::string_view toString(CallEnd end)
{
    switch (end) {
    case CallEnd::Pending:
        return "pending";
    case CallEnd::Response:
        return "response";
    case CallEnd::NotConnected:
        return "not connected";
    case CallEnd::ClosedBeforeSending:
        return "closed before sending";
    case CallEnd::Closed:
        return "closed without a response";
    case CallEnd::Reset:
        return "reset without a response";
    case CallEnd::Cut:
        return "cut within the response";
    }
    return "unknown";
}

bool CallResult::isAnswer(std::string_view body) const
{
    return this->end == CallEnd::Response && this->response.status == successStatus
            && findHeader(this->response.headers, "Replica-Stamp") && this->response.body == body;
}

bool CallResult::isRefusedAsNotRun() const
{
    const auto retryAfter = findHeader(this->response.headers, "Retry-After");
    return this->end == CallEnd::Response && this->response.status == unavailableStatus
            && retryAfter && std::strtod(retryAfter->c_str(), nullptr) <= maximumRetryAfter
            && this->saysNotRun();
}

bool CallResult::isRefusedByStop() const
{
    return this->isRefusedAsNotRun() && this->errorField("code") == "host_draining";
}

bool CallResult::isOutcomeUnknown() const
{
    const int status = this->response.status;
    return this->end == CallEnd::Response && (status == badGatewayStatus || status == timeoutStatus)
            && this->errorField("run_state") == "outcome_unknown";
}

bool CallResult::saysNotRun() const
{
    return this->errorField("run_state") == "not_run";
}

std::string CallResult::describe() const
{
    std::string text(toString(this->end));
    if (this->end == CallEnd::Response) {
        text += " " + std::to_string(this->response.status) + ", Retry-After "
                + findHeader(this->response.headers, "Retry-After").value_or("missing") + ": "
                + this->response.body;
    }
    return text;
}

std::string CallResult::errorField(const char *name) const
{
    const auto body = nlohmann::json::parse(this->response.body, nullptr, false);
    return body.is_object() ? body.value(name, std::string()) : std::string();
}

} // namespace sassafrasyard
