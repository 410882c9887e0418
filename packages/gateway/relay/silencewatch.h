#pragma once

#include "core/core.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <optional>

namespace sassafrasyard {

/**
 * Calls a hook when a stream has been silent for a time.
 *
 * The timer is rearmed only when it expires, because restart() is called for each event.
 */
class SilenceWatch
{
public:
    /** Creates a watch that is stopped. @param onSilence is called on the thread of the context. */
    SilenceWatch(boost::asio::io_context &context, std::function<void()> onSilence);
    /** Stops the watch. */
    ~SilenceWatch();
    SilenceWatch(const SilenceWatch &) = delete;
    SilenceWatch &operator=(const SilenceWatch &) = delete;

    /** Starts the time anew. @param timeout in milliseconds; nothing stops the watch. */
    void restart(std::optional<Milliseconds> timeout);

private:
    struct State;
    std::shared_ptr<State> state;
};

} // namespace sassafrasyard
