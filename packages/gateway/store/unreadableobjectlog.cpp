#include "gateway/store/unreadableobjectlog.h"

#include "gateway/store/storeposition.h"
#include "observability/observability.h"
#include "policy/placement/stablehash.h"

#include <algorithm>
#include <string>

namespace sassafrasyard {

namespace {

constexpr std::size_t maximumLoggedBytes = 253;

std::string printable(std::string_view text)
{
    constexpr char firstPrintable = 0x20;
    constexpr char lastPrintable = 0x7e;
    std::string result(text.substr(0, maximumLoggedBytes));
    std::replace_if(
            result.begin(), result.end(),
            [](char character) { return character < firstPrintable || character > lastPrintable; },
            '?');
    return result;
}

} // namespace

UnreadableObjectLog::UnreadableObjectLog(std::size_t maximumRevisions)
    : maximumRevisions(maximumRevisions)
{
}

bool UnreadableObjectLog::record(std::string_view kind, const RegisteredObject &object,
                                 std::string_view detail)
{
    const std::uint64_t name = combineHashes(stableHash(kind), stableHash(object.name));
    const std::uint64_t key = combineHashes(name, object.revision);
    if (this->logged.contains(key))
        return false;
    if (this->logged.size() >= this->maximumRevisions)
        this->logged.clear();
    this->logged.insert(key);
    logEvent(LogEvent::ObjectUnreadable, "kind", std::string(kind), "object",
             printable(object.name), "revision", storeposition::text(object.revision), "detail",
             printable(detail));
    return true;
}

} // namespace sassafrasyard
