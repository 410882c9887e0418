#include "gateway/state/quarantinearchive.h"

#include "gateway/store/storeposition.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <utility>

namespace sassafrasyard {

namespace net = boost::asio;

using Json = nlohmann::json;

namespace {

/** A store outage usually lasts a few seconds; all hosts share the rate limit of the store. */
constexpr Milliseconds readRetryInterval{2000};
constexpr int hexadecimal = 16;
/** More than these are not stored again; a host rarely sees a few. */
constexpr std::size_t maximumSavedDigests = 256;

/** 64-bit numbers are stored as text, because JSON readers may round them. */
std::uint64_t parseHex(const std::string &text)
{
    std::uint64_t value = 0;
    const auto [end, code] =
            std::from_chars(text.data(), text.data() + text.size(), value, hexadecimal);
    if (code != std::errc() || end != text.data() + text.size())
        throw std::invalid_argument(text + " is not a hexadecimal number");
    return value;
}

/** Decodes an instant in milliseconds since the Unix epoch; fails if it is not a whole number. */
Milliseconds parseInstant(const Json &value)
{
    // Differences of instants up to this one, in the year 37647, fit into 64 bits.
    constexpr std::uint64_t latestInstant = 1ULL << 50U;
    if (!value.is_number_unsigned() || value.get<std::uint64_t>() > latestInstant)
        throw std::out_of_range("expires_at_ms is not an instant in milliseconds");
    return Milliseconds(value.get<std::int64_t>());
}

QuarantineRecord decodeRecord(std::uint64_t requestDigest, const Json &run, Milliseconds wallTime)
{
    QuarantineRecord record;
    record.requestDigest = requestDigest;
    record.incident = parseHex(run.at("incident").get<std::string>());
    record.serverDigest = parseHex(run.at("server").get<std::string>());
    record.crashFreeRun = parseHex(run.at("sound_run").get<std::string>());
    record.remaining = parseInstant(run.at("expires_at_ms")) - wallTime;
    return record;
}

} // namespace

QuarantineArchive::QuarantineArchive(DispatchService &dispatch, net::io_context &context,
                                     ObjectArchiveCalls calls, Clock wallClock)
    : dispatch(dispatch)
    , context(context)
    , calls(std::move(calls))
    , wallClock(std::move(wallClock))
{
}

void QuarantineArchive::start()
{
    spawnWithRestart(this->context.get_executor(), "reader of refused requests",
                     [this] { return this->loadArchive(); });
}

void QuarantineArchive::save(std::uint64_t requestDigest)
{
    net::co_spawn(
            this->context, [this, requestDigest] { return this->saveRecords(requestDigest); },
            net::detached);
}

void QuarantineArchive::saveAgain()
{
    for (const std::uint64_t digest : this->savedDigests)
        this->save(digest);
}

std::string QuarantineArchive::encode(std::span<const QuarantineRecord> records,
                                      Milliseconds wallTime)
{
    Json value;
    value["runs"] = Json::array();
    for (const QuarantineRecord &record : records) {
        Json run;
        run["incident"] = digestText(record.incident);
        run["server"] = digestText(record.serverDigest);
        run["sound_run"] = digestText(record.crashFreeRun);
        run["expires_at_ms"] = (wallTime + record.remaining).count();
        value["runs"].push_back(std::move(run));
    }
    return value.dump();
}

std::optional<std::vector<QuarantineRecord>> QuarantineArchive::decode(
        const RegisteredObject &object, Milliseconds wallTime, Error &reason)
{
    try {
        const std::uint64_t digest = parseHex(object.name);
        const Json value = Json::parse(object.value);
        std::vector<QuarantineRecord> records;
        for (const Json &run : value.at("runs")) {
            const QuarantineRecord record = decodeRecord(digest, run, wallTime);
            if (record.remaining > Milliseconds(0))
                records.push_back(record);
        }
        return records;
    } catch (const std::exception &fault) {
        reason = {ErrorCode::InvalidRequest, RunState::NotRun, fault.what(), {}};
        return std::nullopt;
    }
}

net::awaitable<void> QuarantineArchive::loadArchive()
{
    net::steady_timer timer(this->context);
    while (true) {
        Error reason;
        const auto objects = co_await this->calls.readAll(reason);
        if (objects) {
            co_await this->applyObjects(*objects);
            co_return;
        }
        logEvent(LogEvent::RefusedRequestsUnavailable, "detail", reason.detail);
        timer.expires_after(readRetryInterval);
        boost::system::error_code ignored;
        co_await timer.async_wait(net::redirect_error(net::use_awaitable, ignored));
    }
}

net::awaitable<void> QuarantineArchive::applyObjects(std::span<const RegisteredObject> objects)
{
    std::vector<QuarantineRecord> records;
    std::string expired;
    for (const RegisteredObject &object : objects) {
        Error reason;
        const auto decoded = QuarantineArchive::decode(object, this->wallClock.now(), reason);
        if (!decoded) {
            this->unreadableObjects.record("refused requests", object, reason.detail);
        } else if (decoded->empty()) {
            expired = object.name;
        } else {
            records.insert(records.end(), decoded->begin(), decoded->end());
        }
    }
    this->dispatch.post([records](Dispatcher &dispatcher, Milliseconds now) {
        dispatcher.recordPeerQuarantine(records, now);
    });
    if (expired.empty())
        co_return;
    // Removes only one per start, because all hosts may start at once and read the same objects.
    Error reason;
    const bool isRemoved = co_await this->calls.remove(expired, reason);
    if (!isRemoved)
        logEvent(LogEvent::RefusedRequestsUnavailable, "detail", reason.detail);
}

net::awaitable<void> QuarantineArchive::saveRecords(std::uint64_t requestDigest)
{
    std::vector<QuarantineRecord> records = co_await this->dispatch.quarantineRecords();
    std::erase_if(records, [requestDigest](const QuarantineRecord &record) {
        return record.requestDigest != requestDigest;
    });
    if (records.empty()) {
        this->savedDigests.erase(requestDigest);
        co_return;
    }
    if (this->savedDigests.size() < maximumSavedDigests)
        this->savedDigests.insert(requestDigest);
    const std::string value = QuarantineArchive::encode(records, this->wallClock.now());
    Error reason;
    const bool isSaved = co_await this->calls.write(digestText(requestDigest), value, reason);
    if (!isSaved)
        logEvent(LogEvent::RefusedRequestsUnavailable, "detail", reason.detail);
}

} // namespace sassafrasyard
