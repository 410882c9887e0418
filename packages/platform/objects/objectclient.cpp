#include "platform/objects/objectclient.h"

#include <nlohmann/json.hpp>

#include <charconv>

namespace sassafrasyard {

namespace net = boost::asio;

namespace {

Error platformError(const Error &transport, bool isWrite)
{
    if (transport.runState == RunState::NotRun || !isWrite)
        return {ErrorCode::PlatformUnavailable, RunState::NotRun, transport.detail, {}};
    return {ErrorCode::PlatformOutcomeUnknown, RunState::OutcomeUnknown, transport.detail, {}};
}

Error statusError(const HttpResponse &response, const std::string &name, bool isWrite)
{
    if (response.status == 404)
        return {ErrorCode::NotFound, RunState::NotRun, "no object " + name, {}};
    if (response.status == 412)
        return {ErrorCode::Conflict, RunState::NotRun, "object " + name + " has changed", {}};
    const Error transport{ErrorCode::PlatformUnavailable,
                          RunState::OutcomeUnknown,
                          "the object API answered " + std::to_string(response.status),
                          {}};
    return platformError(transport, isWrite);
}

std::uint64_t versionOf(const HttpResponse &response)
{
    const std::string tag = findHeader(response.headers, "ETag").value_or("0");
    std::uint64_t version = 0;
    std::from_chars(tag.data(), tag.data() + tag.size(), version);
    return version;
}

} // namespace

ObjectClient::ObjectClient(Endpoint endpoint, HttpTimeouts timeouts)
    : endpoint(std::move(endpoint))
    , timeouts(timeouts)
{
}

net::awaitable<std::optional<StoredObject>> ObjectClient::read(std::string name, Error &reason)
{
    std::string target = "/objects/" + percentEncode(name);
    co_return co_await this->get(std::move(name), std::move(target), this->timeouts, reason);
}

net::awaitable<std::optional<StoredObject>> ObjectClient::watch(std::string name,
                                                                std::uint64_t knownVersion,
                                                                Milliseconds timeout, Error &reason)
{
    std::string target = "/objects/" + percentEncode(name) + "?watch="
            + std::to_string(knownVersion) + "&timeout_ms=" + std::to_string(timeout.count());
    HttpTimeouts limits = this->timeouts;
    limits.response += timeout;
    co_return co_await this->get(std::move(name), std::move(target), limits, reason);
}

net::awaitable<std::optional<std::vector<StoredObject>>> ObjectClient::list(std::string prefix,
                                                                            Error &reason)
{
    HttpRequest request;
    request.target = "/objects?prefix=" + percentEncode(prefix);
    Error transport;
    const auto response =
            co_await sendHttpRequest(this->endpoint, request, this->timeouts, transport);
    if (!response || response->status != 200) {
        reason = response ? statusError(*response, prefix, false) : platformError(transport, false);
        co_return std::nullopt;
    }
    const auto document = nlohmann::json::parse(response->body, nullptr, false);
    std::vector<StoredObject> objects;
    if (!document.is_array()) {
        reason = {ErrorCode::PlatformUnavailable, RunState::NotRun, "malformed object list", {}};
        co_return std::nullopt;
    }
    for (const auto &item : document) {
        StoredObject object;
        object.name = item.value("name", "");
        object.version = item.value("version", std::uint64_t{0});
        object.value = item.value("value", "");
        objects.push_back(std::move(object));
    }
    co_return objects;
}

net::awaitable<std::optional<std::uint64_t>> ObjectClient::write(
        std::string name, std::string value, std::optional<WriteCondition> condition, Error &reason)
{
    HttpRequest request;
    request.method = "PUT";
    request.target = "/objects/" + percentEncode(name);
    request.body = std::move(value);
    if (condition && condition->version == 0)
        request.headers.emplace_back("If-None-Match", "*");
    else if (condition)
        request.headers.emplace_back("If-Match", std::to_string(condition->version));
    Error transport;
    const auto response =
            co_await sendHttpRequest(this->endpoint, request, this->timeouts, transport);
    if (!response || response->status != 200) {
        reason = response ? statusError(*response, name, true) : platformError(transport, true);
        co_return std::nullopt;
    }
    co_return versionOf(*response);
}

net::awaitable<bool> ObjectClient::remove(std::string name, Error &reason)
{
    HttpRequest request;
    request.method = "DELETE";
    request.target = "/objects/" + percentEncode(name);
    Error transport;
    const auto response =
            co_await sendHttpRequest(this->endpoint, request, this->timeouts, transport);
    if (response && (response->status == 200 || response->status == 404))
        co_return true;
    reason = response ? statusError(*response, name, true) : platformError(transport, true);
    co_return false;
}

net::awaitable<std::optional<StoredObject>> ObjectClient::get(std::string name, std::string target,
                                                              HttpTimeouts limits, Error &reason)
{
    HttpRequest request;
    request.target = std::move(target);
    Error transport;
    auto response = co_await sendHttpRequest(this->endpoint, request, limits, transport);
    if (!response || response->status != 200) {
        reason = response ? statusError(*response, name, false) : platformError(transport, false);
        co_return std::nullopt;
    }
    StoredObject object;
    object.name = std::move(name);
    object.version = versionOf(*response);
    object.value = std::move(response->body);
    co_return object;
}

} // namespace sassafrasyard
