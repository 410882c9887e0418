#include "gateway/store/sharedobjectsource.h"

#include "gateway/store/storeposition.h"
#include "observability/observability.h"

#include <algorithm>
#include <utility>

namespace sassafrasyard {

namespace net = boost::asio;

namespace {

ObjectPage toPage(ObjectReadReply reply)
{
    ObjectPage page;
    page.revision = reply.revision;
    page.age = Milliseconds(static_cast<std::int64_t>(reply.ageMilliseconds));
    page.isFromPeer = true;
    for (SharedObject &object : reply.objects)
        page.objects.push_back({std::move(object.name), object.revision, std::move(object.value)});
    return page;
}

ObjectChanges toChanges(ObjectReadReply reply, std::uint64_t since)
{
    ObjectChanges update;
    update.revision = reply.revision;
    update.age = Milliseconds(static_cast<std::int64_t>(reply.ageMilliseconds));
    update.isFromPeer = true;
    // The digest of a reader with older content differs for that reason alone.
    if (reply.revision >= since && reply.newestRevision <= reply.revision)
        update.digest = reply.digest;
    for (SharedObject &object : reply.objects) {
        update.changes.push_back(
                {{std::move(object.name), object.revision, std::move(object.value)},
                 object.isRemoved});
    }
    return update;
}

} // namespace

SharedSourceOptions SharedSourceOptions::forWatches(Milliseconds watchWait)
{
    constexpr int maximumAgeInWaits = 3;
    SharedSourceOptions options;
    options.readerWait = watchWait;
    options.maximumAge = maximumAgeInWaits * watchWait + options.answerSlack;
    return options;
}

SharedObjectSource::SharedObjectSource(ObjectSource store, SharedSourceHooks hooks, Clock clock,
                                       SharedSourceOptions options)
    : store(std::move(store))
    , hooks(std::move(hooks))
    , clock(std::move(clock))
    , options(options)
{
}

ObjectSource SharedObjectSource::source()
{
    ObjectSource source;
    source.list = [this](std::string kind, std::string after, ReadAge age, Error &reason) {
        return this->list(std::move(kind), std::move(after), age, reason);
    };
    source.watch = [this](std::string kind, std::uint64_t revision, Milliseconds wait,
                          Error &reason) {
        return this->watch(std::move(kind), revision, wait, reason);
    };
    return source;
}

net::awaitable<std::optional<ObjectPage>> SharedObjectSource::list(std::string kind,
                                                                   std::string after, ReadAge age,
                                                                   Error &reason)
{
    // Later pages and lists for comparison are read from the store.
    if (!after.empty() || age == ReadAge::Seconds) {
        auto page = co_await this->store.list(kind, after, age, reason);
        if (page)
            this->recordRevision(*page);
        co_return page;
    }
    ObjectRead read;
    read.kind = storeposition::mirrorName(kind);
    read.wantsAll = true;
    read.since = this->knownRevision;
    ObjectReadReply reply;
    const bool isStoreFirst = this->mayQueryStoreFirst(this->hooks.readers());
    if (!isStoreFirst && co_await this->queryReaders(read, reply) == QueryOutcome::Known)
        co_return toPage(std::move(reply));
    auto page = co_await this->store.list(kind, after, age, reason);
    if (page) {
        this->recordRevision(*page);
        co_return page;
    }
    this->storeSkippedUntil = this->clock.now() + this->options.skipTime;
    if (isStoreFirst && co_await this->queryReaders(read, reply) == QueryOutcome::Known)
        co_return toPage(std::move(reply));
    co_return std::nullopt;
}

net::awaitable<std::optional<ObjectChanges>> SharedObjectSource::watch(std::string kind,
                                                                       std::uint64_t revision,
                                                                       Milliseconds wait,
                                                                       Error &reason)
{
    ObjectRead read;
    read.kind = storeposition::mirrorName(kind);
    read.since = revision;
    read.waitMilliseconds = static_cast<std::uint64_t>(this->options.readerWait.count());
    ObjectReadReply reply;
    if (!this->mayQueryStoreFirst(this->hooks.readers())) {
        const QueryOutcome outcome = co_await this->queryReaders(read, reply);
        if (outcome == QueryOutcome::HistoryGone) {
            reason = {ErrorCode::HistoryGone,
                      RunState::NotRun,
                      "the reader does not have the changes since this revision",
                      {}};
            co_return std::nullopt;
        }
        if (outcome == QueryOutcome::Known)
            co_return toChanges(std::move(reply), revision);
    }
    auto update = co_await this->store.watch(kind, revision, wait, reason);
    if (update)
        this->knownRevision = std::max(this->knownRevision, update->revision);
    else if (reason.code != ErrorCode::HistoryGone)
        this->storeSkippedUntil = this->clock.now() + this->options.skipTime;
    co_return update;
}

net::awaitable<SharedObjectSource::QueryOutcome> SharedObjectSource::queryReaders(
        const ObjectRead &read, ObjectReadReply &reply)
{
    const StoreReaders readers = this->hooks.readers();
    const Milliseconds start = this->clock.now();
    std::size_t queried = 0;
    for (const std::string &address : readers.addresses) {
        // After a reader that timed out there is no time for another one before the store is
        // queried.
        if (queried >= this->options.maximumReaders
            || this->clock.now() - start >= this->options.readerWait) {
            break;
        }
        const auto skippedReader = this->readersSkippedUntil.find(address);
        if (skippedReader != this->readersSkippedUntil.end()
            && this->clock.now() < skippedReader->second)
            continue;
        ++queried;
        if (!co_await this->queryReader(address, read, reply))
            continue;
        if (reply.result == ObjectReadResult::HistoryGone)
            co_return QueryOutcome::HistoryGone;
        // The replies of other readers would be too large as well.
        if (reply.result == ObjectReadResult::TooLarge)
            co_return QueryOutcome::Nothing;
        this->knownRevision = std::max(this->knownRevision, reply.revision);
        co_return QueryOutcome::Known;
    }
    co_return QueryOutcome::Nothing;
}

/** Returns whether the reply is usable; otherwise the reader is skipped for a while. */
net::awaitable<bool> SharedObjectSource::queryReader(const std::string &address,
                                                     const ObjectRead &read, ObjectReadReply &reply)
{
    const Milliseconds wait(static_cast<std::int64_t>(read.waitMilliseconds));
    Error reason;
    auto answer = co_await this->hooks.ask(address, read, wait + this->options.answerSlack, reason);
    if (!answer) {
        this->skipReader(address, read.kind, reason.detail);
        co_return false;
    }
    reply = std::move(*answer);
    if (reply.result == ObjectReadResult::Unknown) {
        this->skipReader(address, read.kind, "the reader has not read this kind yet");
        co_return false;
    }
    const auto maximumAgeMilliseconds =
            static_cast<std::uint64_t>(this->options.maximumAge.count());
    if (reply.result == ObjectReadResult::Known && reply.ageMilliseconds > maximumAgeMilliseconds) {
        this->skipReader(address, read.kind,
                         "the reply is " + std::to_string(reply.ageMilliseconds) + " ms old");
        co_return false;
    }
    co_return true;
}

/** Readers query the store first; so do all hosts if there is no other reader. */
bool SharedObjectSource::mayQueryStoreFirst(const StoreReaders &readers) const
{
    if (readers.addresses.empty())
        return true;
    return readers.isReader && this->clock.now() >= this->storeSkippedUntil;
}

void SharedObjectSource::skipReader(const std::string &address, const std::string &kind,
                                    std::string detail)
{
    const Milliseconds now = this->clock.now();
    std::erase_if(this->readersSkippedUntil,
                  [now](const auto &entry) { return now >= entry.second; });
    this->readersSkippedUntil[address] = now + this->options.skipTime;
    logEvent(LogEvent::StoreReaderSkipped, "reader", address, "kind", kind, "detail", detail);
}

void SharedObjectSource::recordRevision(const ObjectPage &page)
{
    this->knownRevision = std::max(this->knownRevision, page.revision);
}

} // namespace sassafrasyard
