#pragma once

#include "gateway/store/objectsource.h"

#include <cstdint>
#include <map>
#include <span>
#include <string>

namespace sassafrasyard {

/**
 * The revisions of the objects of one kind that a follower has read.
 *
 * They show whether a list that may be seconds old contains a change that the follower missed.
 */
class ObjectVersions
{
public:
    /** Replaces all revisions by those of a list. */
    void assign(std::span<const RegisteredObject> objects);
    /** Applies changes. */
    void apply(std::span<const ObjectChange> changes);
    /**
     * Returns whether a list contains no unknown change.
     *
     * @param list as of its revision, which may be old. If it agrees, removals up to this revision
     *     are forgotten.
     */
    bool agreesWith(const ObjectPage &list);

private:
    bool isKnown(const RegisteredObject &object) const;

    std::map<std::string, std::uint64_t> present;
    /** Removed objects, which an old list may still contain. */
    std::map<std::string, std::uint64_t> removed;
};

} // namespace sassafrasyard
