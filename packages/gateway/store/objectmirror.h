#pragma once

#include "core/core.h"
#include "gateway/store/objectsource.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>

namespace sassafrasyard {

/**
 * One kind of object as this host knows it, for other hosts to read.
 *
 * Changes are kept for a while, so that a reader that is a little behind gets only those. All
 * instants are of a clock that counts suspension.
 */
class ObjectMirror
{
public:
    /** Called after the content, or what is known of its age, has changed. */
    using ChangeHook = std::function<void()>;

    /** Creates an empty mirror that knows of no read. @param maximumBatches groups of changes kept.
     */
    explicit ObjectMirror(std::size_t maximumBatches = 64);

    /** Sets the hook; it may be empty. */
    void setChangeHook(ChangeHook hook);
    /**
     * Takes in everything as of the instant at which it was asked. What changed before is no longer
     * told as changes if it differs: a list does not say why an object is missing.
     */
    void assign(const ObjectPage &all, Milliseconds askedAt);
    /** Takes in changes, and that there were no others up to the instant of asking. */
    void apply(const ObjectChanges &update, Milliseconds askedAt);

    /** Returns all objects with their revision and age, or nothing before the first read. */
    std::optional<ObjectPage> page(Milliseconds now) const;
    /** Returns the changes after a revision, or nothing if they are not known from there. */
    std::optional<ObjectChanges> changesSince(std::uint64_t revision, Milliseconds now) const;
    /** Returns whether changes after a revision are known, or that they never will be. */
    bool hasChangesSince(std::uint64_t revision) const;
    /** Returns whether there was a read. */
    bool isFilled() const;
    /** Returns the revision up to which everything is known. */
    std::uint64_t revision() const;
    /** Returns the highest revision of an object; above revision() while a list has several pages.
     */
    std::uint64_t newestRevision() const;
    /** Returns a digest of all names and revisions, the same on hosts that know the same. */
    std::uint64_t digest() const;

private:
    struct Batch
    {
        std::uint64_t revision = 0;
        std::vector<ObjectChange> changes;
    };

    bool differsFrom(std::span<const RegisteredObject> objects) const;
    void put(const RegisteredObject &object);
    void erase(const std::string &name);
    void confirm(std::uint64_t revision, Milliseconds askedAt);
    void notify() const;

    std::size_t maximumBatches;
    ChangeHook changeHook;
    std::map<std::string, RegisteredObject> objects;
    std::deque<Batch> batches;
    /** Changes after this revision are in the batches. */
    std::uint64_t historyStart = 0;
    std::uint64_t knownRevision = 0;
    std::uint64_t newestObjectRevision = 0;
    std::uint64_t contentDigest = 0;
    std::optional<Milliseconds> confirmedAt;
};

} // namespace sassafrasyard
