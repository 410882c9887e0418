#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace sassafrasyard {

/** Whole events of a stream, byte for byte as they came. */
struct EventBatch
{
    /** The events' bytes. */
    std::string bytes;
    /** How many events they are. */
    std::uint32_t count = 0;
    /** The number of the last event that has one. */
    std::optional<std::uint64_t> lastEvent;
};

/**
 * Cuts a byte stream between server-sent events.
 *
 * A server may stop in the middle of an event. Passing on whole events only keeps half of one from
 * being joined with the events of the server that goes on.
 */
class EventSplitter
{
public:
    /** Adds received bytes. */
    void append(std::string_view bytes);
    /**
     * Returns the whole events received since the last call; empty if there is none.
     *
     * @param after events with this number or a lower one are left out, as the caller has them.
     */
    EventBatch takeEvents(std::optional<std::uint64_t> after = {});
    /** Returns what was received after the last whole event. */
    const std::string &remainder() const;
    /** Drops what was received after the last whole event. */
    void clear();

private:
    std::string buffer;
    std::size_t searchedTo = 0;
};

} // namespace sassafrasyard
