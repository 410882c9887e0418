#include "gateway/relay/activestreams.h"

#include <utility>

namespace sassafrasyard {

ActiveStreams::Registration::Registration(ActiveStreams &streams, BackendServerName server,
                                          LeavingHook hook)
    : streams(streams)
    , server(std::move(server))
    , number(++streams.lastNumber)
{
    this->streams.hooks[this->server].emplace(this->number, std::move(hook));
}

ActiveStreams::Registration::~Registration()
{
    const auto known = this->streams.hooks.find(this->server);
    known->second.erase(this->number);
    if (known->second.empty())
        this->streams.hooks.erase(known);
}

void ActiveStreams::notifyLeaving(const BackendServerName &server)
{
    const auto known = this->hooks.find(server);
    if (known == this->hooks.end())
        return;
    for (const auto &[number, hook] : known->second)
        hook();
}

std::size_t ActiveStreams::size() const
{
    std::size_t count = 0;
    for (const auto &[server, streams] : this->hooks)
        count += streams.size();
    return count;
}

} // namespace sassafrasyard
