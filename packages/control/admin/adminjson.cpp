#include "control/admin/adminjson.h"

#include "core/text/jsontext.h"

namespace sassafrasyard {

using nlohmann::json;

HttpResponse jsonResponse(int status, const json &body)
{
    HttpResponse response;
    response.status = status;
    response.headers.emplace_back("Content-Type", "application/json");
    response.body = body.dump(-1, ' ', false, json::error_handler_t::replace);
    return response;
}

std::optional<json> parseJsonObject(const HttpRequest &request, Error &reason)
{
    json body;
    if (jsontext::isNestedAtMost(request.body))
        body = json::parse(request.body, nullptr, false);
    if (body.is_object())
        return body;
    reason = {ErrorCode::InvalidRequest, RunState::NotRun, "the body is not a JSON object", {}};
    return std::nullopt;
}

std::string stringField(const json &object, const char *field, const std::string &defaultValue)
{
    const auto value = object.find(field);
    return value != object.end() && value->is_string() ? value->get<std::string>() : defaultValue;
}

} // namespace sassafrasyard
