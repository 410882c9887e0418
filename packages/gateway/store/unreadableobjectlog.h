#pragma once

#include "gateway/store/objectsource.h"

#include <cstddef>
#include <cstdint>
#include <set>
#include <string_view>

namespace sassafrasyard {

/** Logs objects of the store that can't be used, each revision once although it is read often. */
class UnreadableObjectLog
{
public:
    /**
     * Creates a log. @param maximumRevisions how many logged revisions are remembered; beyond that
     * all are forgotten and logged again.
     */
    explicit UnreadableObjectLog(std::size_t maximumRevisions = 1024);

    /**
     * Logs event 8004 unless it was logged for this revision of the object.
     *
     * Names and details of other writers are shortened, and bytes other than printable ASCII are
     * replaced. @param object its name is empty if it can't be read. @return whether it was logged.
     */
    bool record(std::string_view kind, const RegisteredObject &object, std::string_view detail);

private:
    std::size_t maximumRevisions;
    /** Hashes of kind, name and revision. */
    std::set<std::uint64_t> logged;
};

} // namespace sassafrasyard
