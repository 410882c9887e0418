#pragma once

#include "gateway/routes/route.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace sassafrasyard {

/** The routes of one configuration version, found by host name and path. */
class RouteTable
{
public:
    /** Creates an empty table. */
    RouteTable() = default;
    /** Creates a table. Of two routes with the same host and prefix the later one counts. */
    explicit RouteTable(std::vector<Route> routes);

    /**
     * Returns the route with the longest prefix that begins the path, or null.
     *
     * @param host the caller's Host field; a port is ignored, names compare without case.
     * @param path the path without its query.
     */
    const Route *find(std::string_view host, std::string_view path) const;

    /** Returns the number of routes. */
    std::size_t size() const;

private:
    std::vector<Route> routes;
    /** Indices into routes by host, then by prefix. */
    std::map<std::string, std::map<std::string, std::size_t, std::less<>>, std::less<>> index;
};

/**
 * Chooses a service of a route by the shares' weights.
 *
 * @param random evenly distributed from 0 to below 1.
 */
const std::string &chooseService(const Route &route, double random);

} // namespace sassafrasyard
