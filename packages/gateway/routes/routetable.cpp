#include "gateway/routes/routetable.h"

#include <algorithm>
#include <cassert>
#include <cctype>

namespace sassafrasyard {

namespace {

std::string normalizeHost(std::string_view host)
{
    std::string name(host.substr(0, host.find(':')));
    std::transform(name.begin(), name.end(), name.begin(), [](unsigned char character) {
        return static_cast<char>(std::tolower(character));
    });
    return name;
}

} // namespace

RouteTable::RouteTable(std::vector<Route> newRoutes)
    : routes(std::move(newRoutes))
{
    for (std::size_t position = 0; position < this->routes.size(); ++position) {
        const Route &route = this->routes[position];
        this->index[normalizeHost(route.host)][route.pathPrefix] = position;
    }
}

const Route *RouteTable::find(std::string_view host, std::string_view path) const
{
    const auto known = this->index.find(normalizeHost(host));
    if (known == this->index.end())
        return nullptr;
    // All prefixes end with a slash, so only the parts of the path up to a slash can match.
    for (std::size_t slash = path.rfind('/'); slash != std::string_view::npos;
         slash = slash == 0 ? std::string_view::npos : path.rfind('/', slash - 1)) {
        const auto prefix = known->second.find(path.substr(0, slash + 1));
        if (prefix != known->second.end())
            return &this->routes[prefix->second];
    }
    return nullptr;
}

Milliseconds RouteTable::longestTimeout() const
{
    Milliseconds longest{0};
    for (const Route &route : this->routes)
        longest = std::max(longest, route.timeout);
    return longest;
}

std::size_t RouteTable::size() const
{
    return this->routes.size();
}

const std::string &chooseService(const Route &route, double random)
{
    assert(!route.services.empty());
    double total = 0.0;
    for (const ServiceShare &share : route.services)
        total += std::max(0.0, share.weight);
    double rest = random * total;
    for (const ServiceShare &share : route.services) {
        rest -= std::max(0.0, share.weight);
        if (rest < 0.0)
            return share.service;
    }
    return route.services.back().service;
}

} // namespace sassafrasyard
