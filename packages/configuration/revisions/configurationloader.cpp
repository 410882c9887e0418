#include "configuration/revisions/configurationloader.h"

#include "configuration/revisions/snapshot.h"

namespace sassafrasyard {

ConfigurationLoader::ConfigurationLoader(RevisionHead newHead,
                                         std::shared_ptr<const ConfigurationSource> known)
    : head(std::move(newHead))
    , base(std::move(known))
{
    std::uint64_t from = this->base->revision;
    if (!this->head.coversChangesAfter(from)) {
        this->usesSnapshot = true;
        from = this->head.snapshotRevision;
        if (!this->head.snapshot.empty())
            this->pending.emplace(snapshotObjectName(this->head.snapshot), this->head.snapshot);
    }
    std::map<DocumentKey, std::string> last;
    for (const ChangeRecord &record : this->head.changes) {
        if (record.revision <= from)
            continue;
        for (const DocumentChange &change : record.documents)
            last[change.key] = change.digest;
    }
    for (const auto &[key, digest] : last) {
        const auto held = this->base->documents.find(key);
        const bool isHeld = !this->usesSnapshot && held != this->base->documents.end()
                && held->second.digest == digest;
        if (!digest.empty() && !isHeld)
            this->pending.emplace(documentObjectName(digest), digest);
    }
}

std::vector<std::string> ConfigurationLoader::wanted() const
{
    std::vector<std::string> names;
    for (const auto &[name, digest] : this->pending)
        names.push_back(name);
    return names;
}

bool ConfigurationLoader::supply(const std::string &name, const std::string &text, Error &reason)
{
    const auto found = this->pending.find(name);
    if (found == this->pending.end())
        return true;
    const std::string digest = found->second;
    if (sha256Hex(text) != digest) {
        reason = {ErrorCode::ConfigurationInvalid,
                  RunState::NotRun,
                  "object " + name + " does not match its digest",
                  {}};
        return false;
    }
    this->pending.erase(found);
    if (name == snapshotObjectName(digest))
        return this->expandIndex(text, reason);
    if (name == chunkObjectName(digest))
        return addChunk(text, this->chunkDocuments, reason);
    this->bodies[digest] = text;
    return true;
}

std::shared_ptr<const ConfigurationSource> ConfigurationLoader::result() const
{
    if (this->head.revision <= this->base->revision)
        return this->base;
    auto source = std::make_shared<ConfigurationSource>();
    source->documents = this->usesSnapshot ? this->chunkDocuments : this->base->documents;
    source->revision = this->head.revision;
    source->changes = this->head.changes;
    const std::uint64_t from =
            this->usesSnapshot ? this->head.snapshotRevision : this->base->revision;
    for (const ChangeRecord &record : this->head.changes) {
        if (record.revision <= from)
            continue;
        for (const DocumentChange &change : record.documents) {
            const auto body = this->bodies.find(change.digest);
            if (change.digest.empty())
                source->documents.erase(change.key);
            else if (body != this->bodies.end())
                source->documents[change.key] = makeStoredDocument(body->second, record.revision);
            else if (const auto held = this->base->documents.find(change.key);
                     held != this->base->documents.end() && held->second.digest == change.digest) {
                // Not read again; a change in between may have removed it.
                StoredDocument document = held->second;
                document.revision = record.revision;
                source->documents[change.key] = std::move(document);
            }
        }
    }
    return source;
}

bool ConfigurationLoader::expandIndex(const std::string &text, Error &reason)
{
    const auto chunks = parseSnapshotIndex(text, reason);
    if (!chunks)
        return false;
    for (const std::string &digest : *chunks)
        this->pending.emplace(chunkObjectName(digest), digest);
    return true;
}

} // namespace sassafrasyard
