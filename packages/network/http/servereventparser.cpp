#include "network/http/servereventparser.h"

namespace sassafrasyard {

namespace {

void applyLine(ServerEvent &event, std::string_view line)
{
    const std::size_t colon = line.find(':');
    const std::string_view field = line.substr(0, colon);
    std::string_view value =
            colon == std::string_view::npos ? std::string_view() : line.substr(colon + 1);
    if (!value.empty() && value.front() == ' ')
        value.remove_prefix(1);
    if (field == "event") {
        event.type = value;
    } else if (field == "id") {
        event.identifier = value;
    } else if (field == "data") {
        if (!event.data.empty())
            event.data.push_back('\n');
        event.data += value;
    }
}

} // namespace

std::string formatServerEvent(const ServerEvent &event)
{
    std::string text;
    text.reserve(event.type.size() + event.identifier.size() + event.data.size() + 24);
    if (!event.type.empty())
        text.append("event: ").append(event.type).append("\n");
    if (!event.identifier.empty())
        text.append("id: ").append(event.identifier).append("\n");
    text.append("data: ").append(event.data).append("\n\n");
    return text;
}

void ServerEventParser::append(std::string_view bytes)
{
    if (this->consumed == this->buffer.size()) {
        this->buffer.clear();
        this->consumed = 0;
    }
    this->buffer.append(bytes);
}

std::optional<ServerEvent> ServerEventParser::next()
{
    const std::size_t end = this->buffer.find("\n\n", this->consumed);
    if (end == std::string::npos)
        return std::nullopt;
    std::string_view block(this->buffer.data() + this->consumed, end - this->consumed);
    this->consumed = end + 2;
    ServerEvent event;
    while (!block.empty()) {
        const std::string_view line = block.substr(0, block.find('\n'));
        block.remove_prefix(std::min(block.size(), line.size() + 1));
        applyLine(event, line);
    }
    return event;
}

std::size_t ServerEventParser::bufferedBytes() const
{
    return this->buffer.size() - this->consumed;
}

} // namespace sassafrasyard
