#include "observability/observability.h"

#include <catch2/catch.hpp>

using namespace sassafrasyard;

// Guards against duplicate event numbers and against catalogue entries out of order.
TEST_CASE("Event numbers are strictly ascending in the catalogue", "[observability]")
{
    int previous = 0;
    for (const LogEventEntry &entry : logEventCatalogue()) {
        REQUIRE(static_cast<int>(entry.event) > previous);
        REQUIRE_FALSE(entry.name.empty());
        previous = static_cast<int>(entry.event);
    }
}

// Guards against metrics that are missing or misnamed in the exported text.
TEST_CASE("Counters, gauges and histograms appear in the text format", "[observability]")
{
    Metrics metrics;
    metrics.count("sassafrasyard_tokens_total", {{"model", "plan"}}, 3);
    metrics.set("sassafrasyard_waiting_requests", {}, 2);
    metrics.observe("sassafrasyard_token_interval_ms", {}, 12);
    const std::string text = metrics.toText();
    REQUIRE(text.find("sassafrasyard_tokens_total{model=\"plan\"} 3") != std::string::npos);
    REQUIRE(text.find("sassafrasyard_waiting_requests 2") != std::string::npos);
    REQUIRE(text.find("sassafrasyard_token_interval_ms_bucket") != std::string::npos);
}
