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
 * Serves reads of other hosts from the mirrors of this host.
 *
 * All calls must come from the single thread of the context.
 */
class MirrorService
{
public:
    /**
     * The largest reply, in bytes of names and values; a 20 Mbit/s link sends 24 of them within
     * about a second. Larger objects are read from the store.
     */
    static constexpr std::size_t maximumAnswerBytes = 128U << 10U;
    /** The longest time for which a read waits for changes, in milliseconds. */
    static constexpr Milliseconds longestWait{10000};

    /** Creates a service without mirrors. @param clock must count suspension. */
    MirrorService(boost::asio::io_context &context, Clock clock);
    MirrorService(const MirrorService &) = delete;
    MirrorService &operator=(const MirrorService &) = delete;

    /**
     * Serves reads of a kind from a mirror, which must outlive the service. Replaces the change
     * hook of the mirror.
     */
    void add(const std::string &kind, ObjectMirror &mirror);
    /**
     * Returns the reply to a read; a read for changes waits until there are some or its time
     * expires.
     */
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
