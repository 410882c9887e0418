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
 * The objects of one kind as read by this host, for other hosts to read.
 *
 * Recent changes are kept, so that a host that is slightly behind can be sent only those. All
 * instants are of a clock that counts suspension.
 */
class ObjectMirror
{
public:
    /** Called after the content or its confirmed age has changed. */
    using ChangeHook = std::function<void()>;

    /** Creates an empty mirror. @param maximumBatches the number of kept groups of changes. */
    explicit ObjectMirror(std::size_t maximumBatches = 64);

    /** Sets the hook; it may be empty. */
    void setChangeHook(ChangeHook hook);
    /**
     * Replaces the content by a complete list as of the instant at which it was requested.
     *
     * If the list differs, the kept changes are dropped, because a list does not show why an object
     * is missing.
     */
    void assign(const ObjectPage &all, Milliseconds requestedAt);
    /** Applies changes and records that there were no others up to the instant of the request. */
    void apply(const ObjectChanges &update, Milliseconds requestedAt);

    /** Returns all objects with their revision and age, or nothing before the first read. */
    std::optional<ObjectPage> page(Milliseconds now) const;
    /** Returns the changes after a revision, or nothing if they are not kept that far back. */
    std::optional<ObjectChanges> changesSince(std::uint64_t revision, Milliseconds now) const;
    /**
     * Returns whether there are changes after a revision, or the changes since then were dropped.
     */
    bool hasChangesSince(std::uint64_t revision) const;
    /** Returns whether the content has been read at least once. */
    bool isFilled() const;
    /** Returns the revision up to which all changes are known. */
    std::uint64_t revision() const;
    /**
     * Returns the highest revision of an object; it exceeds revision() after a list whose pages
     * were read at different revisions.
     */
    std::uint64_t newestRevision() const;
    /** Returns a digest of all names and revisions; it is equal on hosts with equal content. */
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
    void confirm(std::uint64_t revision, Milliseconds requestedAt);
    void notify() const;

    std::size_t maximumBatches;
    ChangeHook changeHook;
    std::map<std::string, RegisteredObject> objects;
    std::deque<Batch> batches;
    /** The batches contain all changes after this revision. */
    std::uint64_t historyStart = 0;
    std::uint64_t knownRevision = 0;
    std::uint64_t newestObjectRevision = 0;
    std::uint64_t contentDigest = 0;
    std::optional<Milliseconds> confirmedAt;
};

} // namespace sassafrasyard
