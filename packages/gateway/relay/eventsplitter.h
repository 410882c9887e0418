#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace sassafrasyard {

/** Complete events of a stream, byte for byte as received. */
struct EventBatch
{
    /** The events' bytes. */
    std::string bytes;
    /** The number of events. */
    std::uint32_t count = 0;
    /** The identifier of the last event that has one. */
    std::optional<std::uint64_t> lastEvent;
};

/**
 * Splits a byte stream into server-sent events.
 *
 * A server may stop in the middle of an event. Only complete events are forwarded, so that a
 * partial event is never joined with events of the server that continues the stream.
 */
class EventSplitter
{
public:
    /** Adds received bytes. */
    void append(std::string_view bytes);
    /**
     * Returns the complete events received since the last call; empty if there are none.
     *
     * @param after events with this identifier or a lower one are left out, because the caller has
     *     them already.
     */
    EventBatch takeEvents(std::optional<std::uint64_t> after = {});
    /** Returns whether takeEvents() would find a complete event. */
    bool hasEvent() const;
    /** Returns the bytes after the last complete event. */
    const std::string &remainder() const;
    /** Discards the bytes after the last complete event. */
    void clear();

private:
    std::size_t searchStart() const;

    std::string buffer;
    std::size_t searchedTo = 0;
};

} // namespace sassafrasyard
