#include "gateway/relay/eventsplitter.h"

#include <algorithm>
#include <charconv>

namespace sassafrasyard {

namespace {

/** Returns the number in the "id" line of an event, if it has one. */
std::optional<std::uint64_t> eventNumber(std::string_view event)
{
    while (!event.empty()) {
        const std::size_t end = std::min(event.find('\n'), event.size());
        std::string_view line = event.substr(0, end);
        event.remove_prefix(std::min(event.size(), end + 1));
        if (!line.starts_with("id:"))
            continue;
        line.remove_prefix(3);
        while (line.starts_with(' '))
            line.remove_prefix(1);
        std::uint64_t number = 0;
        const auto [last, code] = std::from_chars(line.data(), line.data() + line.size(), number);
        if (code == std::errc() && last != line.data())
            return number;
    }
    return std::nullopt;
}

/** Returns the length of the first event including its blank line, or 0 if it is incomplete. */
std::size_t firstEventLength(std::string_view bytes, std::size_t from)
{
    for (std::size_t line = bytes.find('\n', from); line != std::string_view::npos;
         line = bytes.find('\n', line + 1)) {
        std::size_t next = line + 1;
        if (next < bytes.size() && bytes[next] == '\r')
            ++next;
        if (next < bytes.size() && bytes[next] == '\n')
            return next + 1;
    }
    return 0;
}

} // namespace

void EventSplitter::append(std::string_view bytes)
{
    this->buffer += bytes;
}

bool EventSplitter::hasEvent() const
{
    return firstEventLength(this->buffer, this->searchStart()) > 0;
}

/** Returns where the next search starts. */
std::size_t EventSplitter::searchStart() const
{
    // The blank line may start within the last two bytes of the previous search.
    return this->searchedTo < 2 ? 0 : this->searchedTo - 2;
}

EventBatch EventSplitter::takeEvents(std::optional<std::uint64_t> after)
{
    EventBatch batch;
    std::size_t taken = 0;
    const std::string_view all = this->buffer;
    std::size_t from = this->searchStart();
    while (true) {
        const std::string_view rest = all.substr(taken);
        const std::size_t length = firstEventLength(rest, from);
        if (length == 0)
            break;
        const std::string_view event = rest.substr(0, length);
        taken += length;
        from = 0;
        const auto number = eventNumber(event);
        if (number && after && *number <= *after)
            continue;
        if (number)
            batch.lastEvent = number;
        ++batch.count;
        batch.bytes += event;
    }
    this->buffer.erase(0, taken);
    this->searchedTo = this->buffer.size();
    return batch;
}

const std::string &EventSplitter::remainder() const
{
    return this->buffer;
}

void EventSplitter::clear()
{
    this->buffer.clear();
    this->searchedTo = 0;
}

} // namespace sassafrasyard
