#include "objectstore.h"

#include "standins/common/standinserver.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

#include <chrono>

namespace sassafrasyard {

namespace net = boost::asio;
using nlohmann::json;

namespace {

constexpr std::string_view objectPrefix = "/objects/";
constexpr std::size_t maximumValueBytes = 1U << 20U;

} // namespace

ObjectStore::ObjectStore(net::io_context &context)
    : objectsChanged(context)
{
    this->objectsChanged.expires_at(net::steady_timer::time_point::max());
}

net::awaitable<void> ObjectStore::handle(const HttpRequest &request, HttpResponder &responder)
{
    if (request.path() == "/fault") {
        co_await responder.send(this->setFault(request));
        co_return;
    }
    if (request.path() == "/calls") {
        co_await responder.send(jsonResponse(200, std::to_string(this->callCount)));
        co_return;
    }
    ++this->callCount;
    const bool isWrite = request.method == "PUT" || request.method == "DELETE";
    if (this->faultDelayMilliseconds > 0 && (isWrite || this->faultMode != "slow_writes")) {
        net::steady_timer timer(co_await net::this_coro::executor);
        timer.expires_after(std::chrono::milliseconds(this->faultDelayMilliseconds));
        co_await timer.async_wait(net::use_awaitable);
    }
    if (this->faultMode == "down") {
        co_await responder.send(jsonResponse(503, "{}"));
        co_return;
    }
    HttpResponse response = co_await this->handleObjectRequest(request);
    if (isWrite && this->faultMode == "lose_reply") {
        this->faultMode = "none";
        response = jsonResponse(503, "{}");
    }
    if (this->faultMode == "down")
        response = jsonResponse(503, "{}");
    co_await responder.send(std::move(response));
}

net::awaitable<HttpResponse> ObjectStore::handleObjectRequest(const HttpRequest &request)
{
    const std::string_view path = request.path();
    if (path == "/objects" && request.method == "GET")
        co_return this->list(request);
    if (!path.starts_with(objectPrefix))
        co_return jsonResponse(404, "{}");
    std::string name = percentDecode(path.substr(objectPrefix.size()));
    if (request.method == "GET")
        co_return co_await this->get(request, std::move(name));
    if (request.method == "PUT")
        co_return this->put(request, name);
    if (request.method == "DELETE")
        co_return this->remove(name);
    co_return jsonResponse(404, "{}");
}

net::awaitable<HttpResponse> ObjectStore::get(const HttpRequest &request, std::string name)
{
    const auto watchedVersion = request.query("watch");
    if (watchedVersion) {
        const std::uint64_t knownVersion = std::stoull(*watchedVersion);
        const auto watchEnd = std::chrono::steady_clock::now()
                + std::chrono::milliseconds(std::stoll(request.query("timeout_ms").value_or("0")));
        net::steady_timer deadline(co_await net::this_coro::executor);
        deadline.expires_at(watchEnd);
        deadline.async_wait([this](const boost::system::error_code &code) {
            if (!code)
                this->wakeWatchers();
        });
        while (std::chrono::steady_clock::now() < watchEnd && this->faultMode != "down") {
            const auto object = this->objects.find(name);
            const std::uint64_t version =
                    object == this->objects.end() ? 0 : object->second.version;
            if (version != knownVersion)
                break;
            boost::system::error_code ignored;
            co_await this->objectsChanged.async_wait(
                    net::redirect_error(net::use_awaitable, ignored));
        }
    }
    const auto object = this->objects.find(name);
    co_return object == this->objects.end() ? jsonResponse(404, "{}")
                                            : this->objectResponse(object->second);
}

HttpResponse ObjectStore::put(const HttpRequest &request, const std::string &name)
{
    if (request.body.size() > maximumValueBytes)
        return jsonResponse(413, "{}");
    const auto object = this->objects.find(name);
    const std::uint64_t version = object == this->objects.end() ? 0 : object->second.version;
    const auto ifMatch = findHeader(request.headers, "If-Match");
    if ((ifMatch && std::stoull(*ifMatch) != version)
        || (findHeader(request.headers, "If-None-Match") && version != 0)) {
        return jsonResponse(412, "{}");
    }
    Object &stored = this->objects[name];
    stored.version = ++this->lastVersion;
    stored.value = request.body;
    this->wakeWatchers();
    HttpResponse response = jsonResponse(200, "{}");
    response.headers.emplace_back("ETag", std::to_string(stored.version));
    return response;
}

HttpResponse ObjectStore::remove(const std::string &name)
{
    if (this->objects.erase(name) == 0)
        return jsonResponse(404, "{}");
    ++this->lastVersion;
    this->wakeWatchers();
    return jsonResponse(200, "{}");
}

HttpResponse ObjectStore::list(const HttpRequest &request) const
{
    const std::string prefix = request.query("prefix").value_or("");
    json items = json::array();
    for (const auto &[name, object] : this->objects) {
        if (name.starts_with(prefix))
            items.push_back({{"name", name}, {"version", object.version}, {"value", object.value}});
    }
    return jsonResponse(200, items.dump());
}

HttpResponse ObjectStore::setFault(const HttpRequest &request)
{
    const json body = json::parse(request.body, nullptr, false);
    if (!body.is_object())
        return jsonResponse(400, "{}");
    this->faultMode = body.value("mode", "none");
    this->faultDelayMilliseconds = body.value("delay_ms", 0);
    this->wakeWatchers();
    return jsonResponse(200, "{}");
}

HttpResponse ObjectStore::objectResponse(const Object &object) const
{
    HttpResponse response = jsonResponse(200, object.value);
    response.headers.emplace_back("ETag", std::to_string(object.version));
    return response;
}

void ObjectStore::wakeWatchers()
{
    this->objectsChanged.cancel();
    this->objectsChanged.expires_at(net::steady_timer::time_point::max());
}

} // namespace sassafrasyard
