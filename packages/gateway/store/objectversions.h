#pragma once

#include "gateway/store/objectsource.h"

#include <cstdint>
#include <map>
#include <span>
#include <string>

namespace sassafrasyard {

/**
 * The revisions of the objects of one kind that a follower has heard of.
 *
 * They tell whether a list that may be seconds old shows a change that the follower missed.
 */
class ObjectVersions
{
public:
    /** Replaces everything by a list. */
    void assign(std::span<const RegisteredObject> objects);
    /** Takes in changes. */
    void apply(std::span<const ObjectChange> changes);
    /**
     * Returns whether a list, old or not, shows only what is known.
     *
     * @param list as of its revision. Removals up to there are forgotten if it agrees.
     */
    bool agreesWith(const ObjectPage &list);

private:
    bool isKnown(const RegisteredObject &object) const;

    std::map<std::string, std::uint64_t> present;
    /** Objects whose removal was heard of, which an old list may still hold. */
    std::map<std::string, std::uint64_t> removed;
};

} // namespace sassafrasyard
