#include "gateway/store/sharedobjectsource.h"

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
    page.isShared = true;
    for (SharedObject &object : reply.objects)
        page.objects.push_back({std::move(object.name), object.revision, std::move(object.value)});
    return page;
}

ObjectChanges toChanges(ObjectReadReply reply, std::uint64_t since)
{
    ObjectChanges news;
    news.revision = reply.revision;
    news.age = Milliseconds(static_cast<std::int64_t>(reply.ageMilliseconds));
    news.isShared = true;
    // A reader that knows less than the asking host has another digest for a good reason.
    if (reply.revision >= since && reply.newestRevision <= reply.revision)
        news.digest = reply.digest;
    for (SharedObject &object : reply.objects) {
        news.changes.push_back({{std::move(object.name), object.revision, std::move(object.value)},
                                object.isRemoved});
    }
    return news;
}

} // namespace

SharedSourceOptions SharedSourceOptions::forWatches(Milliseconds watchWait)
{
    constexpr int oldestInWaits = 3;
    SharedSourceOptions options;
    options.readerWait = watchWait;
    options.maximumAge = oldestInWaits * watchWait + options.answerSlack;
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
    // Later pages, and lists to compare with, come from the store.
    if (!after.empty() || age == ReadAge::Seconds) {
        auto page = co_await this->store.list(kind, after, age, reason);
        if (page)
            this->recordKnown(*page);
        co_return page;
    }
    ObjectRead read;
    read.kind = kind;
    read.wantsAll = true;
    read.since = this->knownRevision;
    ObjectReadReply reply;
    const bool isStoreFirst = this->mayAskStoreFirst(this->hooks.readers());
    if (!isStoreFirst && co_await this->askReaders(read, reply) == Told::Known)
        co_return toPage(std::move(reply));
    auto page = co_await this->store.list(kind, after, age, reason);
    if (page) {
        this->recordKnown(*page);
        co_return page;
    }
    this->storeSkippedUntil = this->clock.now() + this->options.pause;
    if (isStoreFirst && co_await this->askReaders(read, reply) == Told::Known)
        co_return toPage(std::move(reply));
    co_return std::nullopt;
}

net::awaitable<std::optional<ObjectChanges>> SharedObjectSource::watch(std::string kind,
                                                                       std::uint64_t revision,
                                                                       Milliseconds wait,
                                                                       Error &reason)
{
    ObjectRead read;
    read.kind = kind;
    read.since = revision;
    read.waitMilliseconds = static_cast<std::uint64_t>(this->options.readerWait.count());
    ObjectReadReply reply;
    if (!this->mayAskStoreFirst(this->hooks.readers())) {
        const Told told = co_await this->askReaders(read, reply);
        if (told == Told::HistoryGone) {
            reason = {ErrorCode::HistoryGone,
                      RunState::NotRun,
                      "the reader does not know the changes since",
                      {}};
            co_return std::nullopt;
        }
        if (told == Told::Known)
            co_return toChanges(std::move(reply), revision);
    }
    auto news = co_await this->store.watch(kind, revision, wait, reason);
    if (news)
        this->knownRevision = std::max(this->knownRevision, news->revision);
    else if (reason.code != ErrorCode::HistoryGone)
        this->storeSkippedUntil = this->clock.now() + this->options.pause;
    co_return news;
}

net::awaitable<SharedObjectSource::Told> SharedObjectSource::askReaders(const ObjectRead &read,
                                                                        ObjectReadReply &reply)
{
    const StoreReaders readers = this->hooks.readers();
    const Milliseconds start = this->clock.now();
    std::size_t asked = 0;
    for (const std::string &address : readers.addresses) {
        // After a reader that was silent there is no time for another one before the store.
        if (asked >= this->options.maximumReaders
            || this->clock.now() - start >= this->options.readerWait) {
            break;
        }
        const auto skipped = this->skippedUntil.find(address);
        if (skipped != this->skippedUntil.end() && this->clock.now() < skipped->second)
            continue;
        ++asked;
        if (!co_await this->askReader(address, read, reply))
            continue;
        if (reply.result == ObjectReadResult::HistoryGone)
            co_return Told::HistoryGone;
        // The other readers' answers would be too large as well.
        if (reply.result == ObjectReadResult::TooLarge)
            co_return Told::Nothing;
        this->knownRevision = std::max(this->knownRevision, reply.revision);
        co_return Told::Known;
    }
    co_return Told::Nothing;
}

/** @return whether the answer says something; a reader that is of no use is skipped for a while. */
net::awaitable<bool> SharedObjectSource::askReader(const std::string &address,
                                                   const ObjectRead &read, ObjectReadReply &reply)
{
    const Milliseconds wait(static_cast<std::int64_t>(read.waitMilliseconds));
    Error reason;
    auto answer = co_await this->hooks.ask(address, read, wait + this->options.answerSlack, reason);
    if (!answer) {
        this->skip(address, read.kind, reason.detail);
        co_return false;
    }
    reply = std::move(*answer);
    if (reply.result == ObjectReadResult::Unknown) {
        this->skip(address, read.kind, "it has not read so far");
        co_return false;
    }
    const auto oldest = static_cast<std::uint64_t>(this->options.maximumAge.count());
    if (reply.result == ObjectReadResult::Known && reply.ageMilliseconds > oldest) {
        this->skip(address, read.kind,
                   "its news is " + std::to_string(reply.ageMilliseconds) + " ms old");
        co_return false;
    }
    co_return true;
}

/** A reader asks the store; with no other reader to ask, so does everyone. */
bool SharedObjectSource::mayAskStoreFirst(const StoreReaders &readers) const
{
    if (readers.addresses.empty())
        return true;
    return readers.isReader && this->clock.now() >= this->storeSkippedUntil;
}

void SharedObjectSource::skip(const std::string &address, const std::string &kind,
                              std::string detail)
{
    const Milliseconds now = this->clock.now();
    std::erase_if(this->skippedUntil, [now](const auto &entry) { return now >= entry.second; });
    this->skippedUntil[address] = now + this->options.pause;
    logEvent(LogEvent::StoreReaderSkipped, "reader", address, "kind", kind, "detail", detail);
}

void SharedObjectSource::recordKnown(const ObjectPage &page)
{
    this->knownRevision = std::max(this->knownRevision, page.revision);
}

} // namespace sassafrasyard
