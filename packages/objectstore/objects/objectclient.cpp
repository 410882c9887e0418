#include "objectstore/objects/objectclient.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>

#include <charconv>

namespace sassafrasyard {

namespace net = boost::asio;

namespace {

/** How many objects of a batch are read concurrently. */
constexpr std::size_t concurrentReads = 8;

Error toPlatformError(const Error &transportError, bool isWrite)
{
    if (transportError.runState == RunState::NotRun || !isWrite)
        return {ErrorCode::PlatformUnavailable, RunState::NotRun, transportError.detail, {}};
    return {ErrorCode::PlatformOutcomeUnknown, RunState::OutcomeUnknown, transportError.detail, {}};
}

Error toStatusError(const HttpResponse &response, const std::string &name, bool isWrite)
{
    if (response.status == 404)
        return {ErrorCode::NotFound, RunState::NotRun, "no object " + name, {}};
    if (response.status == 412)
        return {ErrorCode::Conflict, RunState::NotRun, "object " + name + " has changed", {}};
    const Error transportError{ErrorCode::PlatformUnavailable,
                               RunState::OutcomeUnknown,
                               "the object API answered " + std::to_string(response.status),
                               {}};
    return toPlatformError(transportError, isWrite);
}

std::uint64_t parseVersion(const HttpResponse &response)
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

struct ObjectClient::ReadBatch
{
    explicit ReadBatch(const net::any_io_executor &executor)
        : finished(executor, net::steady_timer::time_point::max())
    {
    }

    net::steady_timer finished;
    std::vector<std::string> names;
    std::vector<StoredObject> objects;
    std::size_t nextIndex = 0;
    std::size_t activeReaders = 0;
    std::optional<Error> failure;
};

net::awaitable<std::optional<std::vector<StoredObject>>> ObjectClient::readAll(
        std::vector<std::string> names, Error &reason)
{
    if (names.empty())
        co_return std::vector<StoredObject>();
    const auto executor = co_await net::this_coro::executor;
    const auto batch = std::make_shared<ReadBatch>(executor);
    batch->objects.resize(names.size());
    batch->names = std::move(names);
    batch->activeReaders = std::min(concurrentReads, batch->names.size());
    // The readers run on the caller's strand, so the batch needs no lock.
    for (std::size_t reader = batch->activeReaders; reader > 0; --reader) {
        net::co_spawn(
                executor, [this, batch] { return this->readBatch(batch); }, net::detached);
    }
    boost::system::error_code ignored;
    co_await batch->finished.async_wait(net::redirect_error(net::use_awaitable, ignored));
    if (batch->failure) {
        reason = *batch->failure;
        co_return std::nullopt;
    }
    co_return std::move(batch->objects);
}

net::awaitable<void> ObjectClient::readBatch(std::shared_ptr<ReadBatch> batch)
{
    while (batch->nextIndex < batch->names.size() && !batch->failure) {
        const std::size_t index = batch->nextIndex++;
        Error reason;
        auto object = co_await this->read(batch->names[index], reason);
        if (object)
            batch->objects[index] = std::move(*object);
        else
            batch->failure = reason;
    }
    // Setting the expiry also ends a wait that starts later; cancel() would only end a pending one.
    if (--batch->activeReaders == 0)
        batch->finished.expires_at(net::steady_timer::time_point::min());
}

net::awaitable<std::optional<StoredObject>> ObjectClient::watch(std::string name,
                                                                std::uint64_t knownVersion,
                                                                Milliseconds timeout, Error &reason)
{
    std::string target = "/objects/" + percentEncode(name) + "?watch="
            + std::to_string(knownVersion) + "&timeout_ms=" + std::to_string(timeout.count());
    HttpTimeouts requestTimeouts = this->timeouts;
    requestTimeouts.response += timeout;
    co_return co_await this->get(std::move(name), std::move(target), requestTimeouts, reason);
}

net::awaitable<std::optional<std::vector<StoredObject>>> ObjectClient::list(std::string prefix,
                                                                            Error &reason)
{
    HttpRequest request;
    request.target = "/objects?prefix=" + percentEncode(prefix);
    Error transportError;
    const auto response =
            co_await sendHttpRequest(this->endpoint, request, this->timeouts, transportError);
    if (!response || response->status != 200) {
        reason = response ? toStatusError(*response, prefix, false)
                          : toPlatformError(transportError, false);
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
    Error transportError;
    const auto response =
            co_await sendHttpRequest(this->endpoint, request, this->timeouts, transportError);
    if (!response || response->status != 200) {
        reason = response ? toStatusError(*response, name, true)
                          : toPlatformError(transportError, true);
        co_return std::nullopt;
    }
    co_return parseVersion(*response);
}

net::awaitable<bool> ObjectClient::remove(std::string name, Error &reason)
{
    HttpRequest request;
    request.method = "DELETE";
    request.target = "/objects/" + percentEncode(name);
    Error transportError;
    const auto response =
            co_await sendHttpRequest(this->endpoint, request, this->timeouts, transportError);
    if (response && (response->status == 200 || response->status == 404))
        co_return true;
    reason =
            response ? toStatusError(*response, name, true) : toPlatformError(transportError, true);
    co_return false;
}

net::awaitable<std::optional<StoredObject>> ObjectClient::get(std::string name, std::string target,
                                                              HttpTimeouts requestTimeouts,
                                                              Error &reason)
{
    HttpRequest request;
    request.target = std::move(target);
    Error transportError;
    auto response =
            co_await sendHttpRequest(this->endpoint, request, requestTimeouts, transportError);
    if (!response || response->status != 200) {
        reason = response ? toStatusError(*response, name, false)
                          : toPlatformError(transportError, false);
        co_return std::nullopt;
    }
    StoredObject object;
    object.name = std::move(name);
    object.version = parseVersion(*response);
    object.value = std::move(response->body);
    co_return object;
}

} // namespace sassafrasyard
