#include "gateway/gateway.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace sassafrasyard;

namespace {

Route makeRoute(const std::string &host, const std::string &prefix)
{
    Route route;
    route.name = host + prefix;
    route.host = host;
    route.pathPrefix = prefix;
    route.services = {{"service", 1.0}};
    return route;
}

} // namespace

// Guards against routing a call to a shorter prefix or to another host name.
TEST_CASE("The longest matching prefix of the host name is used", "[routes]")
{
    const RouteTable table({makeRoute("a.example", "/"), makeRoute("a.example", "/x/"),
                            makeRoute("a.example", "/x/y/"), makeRoute("b.example", "/x/")});
    REQUIRE(table.find("a.example", "/x/y/z")->pathPrefix == "/x/y/");
    REQUIRE(table.find("a.example", "/x/yz")->pathPrefix == "/x/");
    REQUIRE(table.find("a.example", "/other")->pathPrefix == "/");
    REQUIRE(table.find("b.example", "/other") == nullptr);
    REQUIRE(table.find("c.example", "/x/") == nullptr);
}

// Guards against missing a route because of the spelling of the host name.
TEST_CASE("A port and the case of the host are ignored", "[routes]")
{
    const RouteTable table({makeRoute("A.example", "/x/")});
    REQUIRE(table.find("a.EXAMPLE:8740", "/x/1") != nullptr);
}

// Guards against an index that deviates from the definition of the longest prefix.
TEST_CASE("The table finds the same route as a search through all routes", "[routes]")
{
    rc::prop("longest prefix", [](const std::vector<std::uint8_t> &shape) {
        std::vector<Route> routes;
        std::string prefix = "/";
        for (const std::uint8_t part : shape) {
            if (part % 4 == 0)
                prefix = "/";
            else
                prefix.append(1, char('a' + part % 3)).append("/");
            routes.push_back(makeRoute("h", prefix));
        }
        const RouteTable table(routes);
        const std::string path =
                *rc::gen::container<std::string>(rc::gen::elementOf(std::string("ab/")));
        const std::string absolute = "/" + path;
        std::string longest;
        for (const Route &route : routes) {
            if (absolute.starts_with(route.pathPrefix) && route.pathPrefix.size() > longest.size())
                longest = route.pathPrefix;
        }
        const Route *found = table.find("h", absolute);
        RC_ASSERT((found == nullptr ? std::string() : found->pathPrefix) == longest);
    });
}

// Guards against a split that sends all calls to one service, or any call to a weight of 0.
TEST_CASE("Calls of a split route are distributed by weight", "[routes]")
{
    Route route = makeRoute("h", "/");
    route.services = {{"a", 90.0}, {"none", 0.0}, {"b", 10.0}};
    REQUIRE(chooseService(route, 0.0) == "a");
    REQUIRE(chooseService(route, 0.899) == "a");
    REQUIRE(chooseService(route, 0.901) == "b");
    REQUIRE(chooseService(route, 0.999999) == "b");
}

// Guards against software versions of streams that are forgotten while the streams still run.
TEST_CASE("The longest time-out of the routes is known", "[routes]")
{
    REQUIRE(RouteTable().longestTimeout() == Milliseconds(0));
    std::vector<Route> routes{makeRoute("h", "/a/"), makeRoute("h", "/b/"), makeRoute("h", "/c/")};
    routes[1].timeout = Milliseconds(90'000);
    REQUIRE(RouteTable(routes).longestTimeout() == Milliseconds(90'000));
}
