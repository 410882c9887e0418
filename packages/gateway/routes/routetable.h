#pragma once

#include "gateway/routes/route.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace sassafrasyard {

/** The routes of one configuration version, indexed by host name and path prefix. */
class RouteTable
{
public:
    /** Creates an empty table. */
    RouteTable() = default;
    /**
     * Creates a table. The later of two routes with the same host and prefix replaces the earlier.
     */
    explicit RouteTable(std::vector<Route> routes);

    /**
     * Returns the route with the longest prefix of the path, or null.
     *
     * @param host the Host field of the request; a port and the case are ignored.
     * @param path the path without its query.
     */
    const Route *find(std::string_view host, std::string_view path) const;

    /** Returns the longest duration of a call on any route, in milliseconds; 0 without routes. */
    Milliseconds longestTimeout() const;
    /** Returns the number of routes. */
    std::size_t size() const;

private:
    std::vector<Route> routes;
    /** Indices into routes by host, then by prefix. */
    std::map<std::string, std::map<std::string, std::size_t, std::less<>>, std::less<>> index;
};

/**
 * Chooses a service of a route by weight.
 *
 * @param random uniformly distributed in [0, 1).
 */
const std::string &chooseService(const Route &route, double random);

} // namespace sassafrasyard
