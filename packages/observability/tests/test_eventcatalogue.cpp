#include "observability/observability.h"

#include <catch2/catch.hpp>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>

using namespace sassafrasyard;

namespace {

std::string readEventsPage()
{
    const auto root = std::filesystem::path(__FILE__).parent_path() / "../../..";
    std::ifstream file(root / "docs/events.md");
    return {std::istreambuf_iterator<char>(file), {}};
}

std::string_view nameOf(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return "debug";
    case LogLevel::Info:
        return "info";
    case LogLevel::Warning:
        return "warning";
    case LogLevel::Error:
        return "error";
    }
    return "";
}

} // namespace

// Guards against events that are missing in docs/events.md, and against rows without an event.
TEST_CASE("docs/events.md describes exactly the events of the code", "[observability]")
{
    const std::string page = readEventsPage();
    REQUIRE_FALSE(page.empty());
    std::size_t rows = 0;
    for (std::size_t at = page.find("\n| "); at != std::string::npos;
         at = page.find("\n| ", at + 1))
        rows += page[at + 3] >= '0' && page[at + 3] <= '9' ? 1 : 0;
    REQUIRE(rows == logEventCatalogue().size());
    for (const LogEventEntry &entry : logEventCatalogue()) {
        const std::string row = "| " + std::to_string(static_cast<int>(entry.event)) + " | "
                + std::string(entry.name) + " | " + std::string(nameOf(entry.level)) + " | ";
        INFO(row);
        REQUIRE(page.find(row) != std::string::npos);
    }
}
