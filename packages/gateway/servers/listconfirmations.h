#pragma once

#include "core/core.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstddef>
#include <memory>
#include <optional>
#include <set>

namespace sassafrasyard {

/**
 * Knows as of which instant the list of backend servers is complete, and lets coroutines wait for a
 * newer list.
 *
 * A list that was requested after a call came in contains every server that can have served the
 * caller before. All calls come from one thread.
 */
class ListConfirmations
{
public:
    /** Creates an object without a list. @param clock must count suspension. */
    ListConfirmations(boost::asio::io_context &context, Clock clock);
    ListConfirmations(const ListConfirmations &) = delete;
    ListConfirmations &operator=(const ListConfirmations &) = delete;

    /** Records that all changes up to an instant were applied. */
    void confirm(Milliseconds requestedAt);
    /**
     * Waits until the list is complete as of an instant later than the given one.
     *
     * @param endAt when to stop waiting, on the clock of this object.
     * @return false if there is no such list at that time or when endWaits() is called.
     */
    boost::asio::awaitable<bool> waitForNewer(Milliseconds than, Milliseconds endAt);
    /** Ends all waits, and those to come at once: this host stops. */
    void endWaits();
    /** Returns the number of coroutines that wait. */
    std::size_t waitingCount() const;

private:
    bool isNewer(Milliseconds than) const;

    boost::asio::io_context &context;
    Clock clock;
    std::optional<Milliseconds> confirmedAt;
    std::set<std::shared_ptr<boost::asio::steady_timer>> waiting;
    bool areWaitsEnded = false;
};

} // namespace sassafrasyard
