#pragma once

#include "core/core.h"
#include "gateway/store/objectmirror.h"
#include "protocol/protocol.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>
#include <set>
#include <string>

namespace sassafrasyard {

/**
 * Answers other hosts' reads from what this host has read of the platform's store.
 *
 * All calls come from the context's one thread.
 */
class MirrorService
{
public:
    /** The largest answer, in bytes of names and values; 24 of them leave a 20 Mbit/s link within
     * about a second. Larger objects are read from the store. */
    static constexpr std::size_t maximumAnswerBytes = 128U << 10U;
    /** The longest time that a read waits for changes, in milliseconds. */
    static constexpr Milliseconds longestWait{10000};

    /** Creates a service without mirrors. @param clock must count suspension. */
    MirrorService(boost::asio::io_context &context, Clock clock);
    MirrorService(const MirrorService &) = delete;
    MirrorService &operator=(const MirrorService &) = delete;

    /** Answers reads of a kind from a mirror, which must outlive the service and gets its hook. */
    void add(const std::string &kind, ObjectMirror &mirror);
    /** Answers a read; one for changes waits until there are some or its time is over. */
    boost::asio::awaitable<ObjectReadReply> answer(ObjectRead read);

private:
    struct ServedKind
    {
        ObjectMirror *mirror = nullptr;
        std::set<boost::asio::steady_timer *> waitingReads;
    };

    boost::asio::awaitable<void> waitForChanges(ServedKind &servedKind, const ObjectRead &read);

    boost::asio::io_context &context;
    Clock clock;
    std::map<std::string, ServedKind> kinds;
};

} // namespace sassafrasyard
