#include "gateway/store/mirrorservice.h"

#include "gateway/store/storeposition.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace sassafrasyard {

namespace net = boost::asio;

namespace {

void addObject(ObjectReadReply &reply, RegisteredObject object, bool isRemoved)
{
    reply.objects.push_back(
            {std::move(object.name), object.revision, std::move(object.value), isRemoved});
}

std::size_t byteCount(const ObjectReadReply &reply)
{
    std::size_t bytes = 0;
    for (const SharedObject &object : reply.objects)
        bytes += object.name.size() + object.value.size();
    return bytes;
}

void addList(ObjectReadReply &reply, const ObjectMirror &mirror, const ObjectRead &read,
             Milliseconds now)
{
    auto all = mirror.page(now);
    // A list older than the content of the requesting host would revert it to an earlier state.
    if (!all || all->revision < read.since)
        return;
    reply.result = ObjectReadResult::Known;
    reply.revision = all->revision;
    reply.ageMilliseconds = static_cast<std::uint64_t>(all->age.count());
    for (RegisteredObject &object : all->objects)
        addObject(reply, std::move(object), false);
}

void addChanges(ObjectReadReply &reply, const ObjectMirror &mirror, const ObjectRead &read,
                Milliseconds now)
{
    if (!mirror.isFilled())
        return;
    auto update = mirror.changesSince(read.since, now);
    if (!update) {
        reply.result = ObjectReadResult::HistoryGone;
        return;
    }
    reply.result = ObjectReadResult::Known;
    reply.revision = update->revision;
    reply.newestRevision = mirror.newestRevision();
    reply.ageMilliseconds = static_cast<std::uint64_t>(update->age.count());
    reply.digest = mirror.digest();
    for (ObjectChange &change : update->changes)
        addObject(reply, std::move(change.object), change.isRemoved);
}

} // namespace

MirrorService::MirrorService(net::io_context &context, Clock clock)
    : context(context)
    , clock(std::move(clock))
{
}

void MirrorService::add(const std::string &kind, ObjectMirror &mirror)
{
    ServedKind &servedKind = this->kinds[storeposition::mirrorName(kind)];
    servedKind.mirror = &mirror;
    mirror.setChangeHook([&servedKind] {
        for (net::steady_timer *timer : servedKind.waitingReads)
            timer->cancel();
    });
}

net::awaitable<ObjectReadReply> MirrorService::answer(ObjectRead read)
{
    ObjectReadReply reply;
    reply.sequence = read.sequence;
    const auto known = this->kinds.find(read.kind);
    if (known == this->kinds.end())
        co_return reply;
    ServedKind &servedKind = known->second;
    if (read.wantsAll) {
        addList(reply, *servedKind.mirror, read, this->clock.now());
    } else {
        co_await this->waitForChanges(servedKind, read);
        addChanges(reply, *servedKind.mirror, read, this->clock.now());
    }
    if (byteCount(reply) > maximumAnswerBytes) {
        reply.result = ObjectReadResult::TooLarge;
        reply.objects.clear();
    }
    co_return reply;
}

net::awaitable<void> MirrorService::waitForChanges(ServedKind &servedKind, const ObjectRead &read)
{
    if (!servedKind.mirror->isFilled() || servedKind.mirror->hasChangesSince(read.since))
        co_return;
    const auto longest = static_cast<std::uint64_t>(longestWait.count());
    net::steady_timer timer(this->context, Milliseconds(std::min(read.waitMilliseconds, longest)));
    servedKind.waitingReads.insert(&timer);
    boost::system::error_code code;
    co_await timer.async_wait(net::redirect_error(net::use_awaitable, code));
    servedKind.waitingReads.erase(&timer);
}

} // namespace sassafrasyard
