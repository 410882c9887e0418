#include "control/configuration/configurationstore.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace sassafrasyard {

namespace net = boost::asio;

namespace {

constexpr Milliseconds initialRetryDelay{50};
constexpr Milliseconds maxRetryDelay{1000};

net::awaitable<void> waitFor(Milliseconds delay)
{
    net::steady_timer timer(co_await net::this_coro::executor);
    timer.expires_after(delay);
    boost::system::error_code ignored;
    co_await timer.async_wait(net::redirect_error(net::use_awaitable, ignored));
}

} // namespace

ConfigurationStore::ConfigurationStore(ObjectClient &platform, Clock systemClock)
    : platform(platform)
    , systemClock(std::move(systemClock))
{
}

net::awaitable<ChangeOutcome> ConfigurationStore::accept(
        ChangeRequest request, std::shared_ptr<const ConfigurationSource> localSource)
{
    ChangeAcceptance acceptance(std::move(request), std::move(localSource),
                                this->systemClock.now());
    Milliseconds delay = initialRetryDelay;
    while (!std::holds_alternative<ChangeOutcome>(acceptance.step())) {
        AcceptanceStep step = acceptance.step();
        const StepResult result = co_await this->executeStep(std::move(step));
        acceptance.advance(result);
        const bool isRetry = result.failure && result.failure->code != ErrorCode::Conflict
                && result.failure->code != ErrorCode::NotFound;
        if (isRetry && !std::holds_alternative<ChangeOutcome>(acceptance.step())) {
            co_await waitFor(delay);
            delay = std::min(2 * delay, maxRetryDelay);
        }
    }
    co_return std::get<ChangeOutcome>(acceptance.step());
}

net::awaitable<StepResult> ConfigurationStore::executeStep(AcceptanceStep step)
{
    StepResult result;
    Error reason;
    std::optional<StoredObject> object;
    std::optional<std::uint64_t> written;
    WriteCondition condition;
    if (std::holds_alternative<ReadHeadStep>(step)) {
        object = co_await this->platform.read(std::string(headObjectName), reason);
    } else if (auto *read = std::get_if<ReadObjectStep>(&step)) {
        object = co_await this->platform.read(std::move(read->name), reason);
    } else if (auto *create = std::get_if<CreateObjectStep>(&step)) {
        written = co_await this->platform.write(std::move(create->name), std::move(create->value),
                                                condition, reason);
    } else if (auto *update = std::get_if<UpdateHeadStep>(&step)) {
        condition.version = update->version;
        written = co_await this->platform.write(std::string(headObjectName),
                                                std::move(update->value), condition, reason);
    }
    if (object) {
        result.value = std::move(object->value);
        result.version = object->version;
    } else if (written) {
        result.version = *written;
    } else {
        result.failure = reason;
    }
    co_return result;
}

net::awaitable<std::shared_ptr<const ConfigurationSource>> ConfigurationStore::load(
        RevisionHead head, std::shared_ptr<const ConfigurationSource> localSource, Error &reason)
{
    ConfigurationLoader loader(std::move(head), std::move(localSource));
    std::vector<std::string> missingObjects = loader.missingObjects();
    while (!missingObjects.empty()) {
        const auto objects = co_await this->platform.readAll(missingObjects, reason);
        if (!objects)
            co_return nullptr;
        for (const StoredObject &object : *objects) {
            if (!loader.addObject(object.name, object.value, reason))
                co_return nullptr;
        }
        missingObjects = loader.missingObjects();
    }
    co_return loader.result();
}

net::awaitable<std::shared_ptr<const ConfigurationSource>> ConfigurationStore::loadCurrent(
        std::shared_ptr<const ConfigurationSource> localSource, Error &reason)
{
    const auto object = co_await this->platform.read(std::string(headObjectName), reason);
    if (!object && reason.code == ErrorCode::NotFound)
        co_return localSource;
    if (!object)
        co_return nullptr;
    auto head = parseHead(object->value, reason);
    if (!head)
        co_return nullptr;
    co_return co_await this->load(std::move(*head), std::move(localSource), reason);
}

} // namespace sassafrasyard
