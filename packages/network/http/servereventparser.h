#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace sassafrasyard {

/** One server-sent event. */
struct ServerEvent
{
    /** The event's type; empty for the default type. */
    std::string type;
    /** The event's identifier; empty if it has none. */
    std::string identifier;
    /** The data lines, joined by line feeds. */
    std::string data;
};

/** Serializes an event as text/event-stream. The data must not contain a line feed. */
std::string formatServerEvent(const ServerEvent &event);

/** Splits a byte stream into server-sent events. */
class ServerEventParser
{
public:
    /** Adds received bytes. */
    void append(std::string_view bytes);

    /** Returns the next complete event, or nothing until more bytes arrive. */
    std::optional<ServerEvent> next();

    /** Returns the number of buffered bytes of incomplete or unread events. */
    std::size_t bufferedBytes() const;

private:
    std::string buffer;
    std::size_t consumed = 0;
};

} // namespace sassafrasyard
