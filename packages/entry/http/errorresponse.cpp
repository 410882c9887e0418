#include "entry/http/errorresponse.h"

#include <nlohmann/json.hpp>

namespace sassafrasyard {

std::string formatError(const Error &error)
{
    nlohmann::json body;
    body["code"] = std::string(toString(error.code));
    body["run_state"] = std::string(toString(error.runState));
    body["detail"] = error.detail;
    if (error.retryAfter)
        body["retry_after_ms"] = error.retryAfter->count();
    // The detail may contain bytes from the caller that are not valid UTF-8.
    return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

HttpResponse errorResponse(const Error &error)
{
    HttpResponse response;
    response.status = httpStatus(error.code);
    response.headers.emplace_back("Content-Type", "application/json");
    if (error.retryAfter) {
        const auto seconds = (error.retryAfter->count() + 999) / 1000;
        response.headers.emplace_back("Retry-After", std::to_string(seconds));
    }
    response.body = formatError(error);
    return response;
}

} // namespace sassafrasyard
