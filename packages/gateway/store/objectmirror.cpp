#include "gateway/store/objectmirror.h"

#include "policy/placement/stablehash.h"

#include <algorithm>
#include <utility>

namespace sassafrasyard {

namespace {

std::uint64_t digestOf(const RegisteredObject &object)
{
    return combineHashes(stableHash(object.name), object.revision);
}

} // namespace

ObjectMirror::ObjectMirror(std::size_t maximumBatches)
    : maximumBatches(maximumBatches)
{
}

void ObjectMirror::setChangeHook(ChangeHook hook)
{
    this->changeHook = std::move(hook);
}

void ObjectMirror::assign(const ObjectPage &all, Milliseconds requestedAt)
{
    if (this->differsFrom(all.objects)) {
        this->objects.clear();
        this->contentDigest = 0;
        this->batches.clear();
        this->historyStart = all.revision;
        for (const RegisteredObject &object : all.objects)
            this->put(object);
    }
    this->confirm(all.revision, requestedAt);
    this->notify();
}

void ObjectMirror::apply(const ObjectChanges &update, Milliseconds requestedAt)
{
    for (const ObjectChange &change : update.changes) {
        if (change.isRemoved)
            this->erase(change.object.name);
        else
            this->put(change.object);
    }
    if (!update.changes.empty())
        this->batches.push_back({std::max(update.revision, this->knownRevision), update.changes});
    if (this->batches.size() > this->maximumBatches) {
        this->historyStart = this->batches.front().revision;
        this->batches.pop_front();
    }
    this->confirm(update.revision, requestedAt);
    if (!update.changes.empty())
        this->notify();
}

std::optional<ObjectPage> ObjectMirror::page(Milliseconds now) const
{
    if (!this->confirmedAt)
        return std::nullopt;
    ObjectPage all;
    for (const auto &[name, object] : this->objects)
        all.objects.push_back(object);
    all.revision = this->knownRevision;
    all.age = now - *this->confirmedAt;
    all.isFromPeer = true;
    return all;
}

std::optional<ObjectChanges> ObjectMirror::changesSince(std::uint64_t revision,
                                                        Milliseconds now) const
{
    if (!this->confirmedAt || revision < this->historyStart)
        return std::nullopt;
    ObjectChanges update;
    for (const Batch &batch : this->batches) {
        if (batch.revision > revision)
            update.changes.insert(update.changes.end(), batch.changes.begin(), batch.changes.end());
    }
    update.revision = this->knownRevision;
    update.age = now - *this->confirmedAt;
    update.digest = this->contentDigest;
    update.isFromPeer = true;
    return update;
}

bool ObjectMirror::hasChangesSince(std::uint64_t revision) const
{
    return revision < this->historyStart
            || (!this->batches.empty() && this->batches.back().revision > revision);
}

bool ObjectMirror::isFilled() const
{
    return this->confirmedAt.has_value();
}

std::uint64_t ObjectMirror::revision() const
{
    return this->knownRevision;
}

std::uint64_t ObjectMirror::newestRevision() const
{
    return std::max(this->knownRevision, this->newestObjectRevision);
}

std::uint64_t ObjectMirror::digest() const
{
    return this->contentDigest;
}

bool ObjectMirror::differsFrom(std::span<const RegisteredObject> list) const
{
    if (list.size() != this->objects.size() || !this->confirmedAt)
        return true;
    return std::any_of(list.begin(), list.end(), [this](const RegisteredObject &object) {
        const auto known = this->objects.find(object.name);
        return known == this->objects.end() || known->second.revision != object.revision;
    });
}

void ObjectMirror::put(const RegisteredObject &object)
{
    this->erase(object.name);
    this->contentDigest += digestOf(object);
    this->newestObjectRevision = std::max(this->newestObjectRevision, object.revision);
    this->objects.emplace(object.name, object);
}

void ObjectMirror::erase(const std::string &name)
{
    const auto known = this->objects.find(name);
    if (known == this->objects.end())
        return;
    this->contentDigest -= digestOf(known->second);
    this->objects.erase(known);
}

void ObjectMirror::confirm(std::uint64_t revision, Milliseconds requestedAt)
{
    this->knownRevision = std::max(this->knownRevision, revision);
    this->confirmedAt = std::max(requestedAt, this->confirmedAt.value_or(requestedAt));
}

void ObjectMirror::notify() const
{
    if (this->changeHook)
        this->changeHook();
}

} // namespace sassafrasyard
