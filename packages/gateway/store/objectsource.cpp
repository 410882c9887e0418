#include "gateway/store/objectsource.h"

#include "gateway/store/storeposition.h"

#include <iterator>
#include <utility>

namespace sassafrasyard {

boost::asio::awaitable<std::optional<ObjectPage>> readAllObjects(const ObjectSource &source,
                                                                 std::string kind, ReadAge age,
                                                                 Error &reason)
{
    ObjectPage all;
    std::string after;
    bool isFirst = true;
    bool hasMore = true;
    while (hasMore) {
        auto page = co_await source.list(kind, after, age, reason);
        if (!page)
            co_return std::nullopt;
        if (std::exchange(isFirst, false)) {
            all.revision = page->revision;
            all.age = page->age;
            all.isFromPeer = page->isFromPeer;
        }
        // Pages from before and after a restore belong to two states of the store.
        if (storeposition::eraOf(page->revision) != storeposition::eraOf(all.revision)) {
            reason = {ErrorCode::PlatformUnavailable,
                      RunState::NotRun,
                      "the store was restored between two pages of a list",
                      {}};
            co_return std::nullopt;
        }
        hasMore = page->hasMore;
        if (hasMore) {
            if (page->objects.empty() || page->objects.back().name == after) {
                reason = {ErrorCode::PlatformUnavailable,
                          RunState::NotRun,
                          "a page of a list has no readable name to continue from",
                          {}};
                co_return std::nullopt;
            }
            after = page->objects.back().name;
        }
        std::move(page->objects.begin(), page->objects.end(), std::back_inserter(all.objects));
    }
    co_return all;
}

} // namespace sassafrasyard
