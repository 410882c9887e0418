#include "configuration/revisions/configurationloader.h"

#include "configuration/revisions/snapshot.h"

namespace sassafrasyard {

ConfigurationLoader::ConfigurationLoader(RevisionHead newHead,
                                         std::shared_ptr<const ConfigurationSource> newLocalSource)
    : head(std::move(newHead))
    , localSource(std::move(newLocalSource))
{
    std::uint64_t baseRevision = this->localSource->revision;
    if (!this->head.coversChangesAfter(baseRevision)) {
        this->usesSnapshot = true;
        baseRevision = this->head.snapshotRevision;
        if (!this->head.snapshot.empty())
            this->missing.emplace(snapshotObjectName(this->head.snapshot), this->head.snapshot);
    }
    std::map<DocumentKey, std::string> latestDigests;
    for (const ChangeRecord &record : this->head.changes) {
        if (record.revision <= baseRevision)
            continue;
        for (const DocumentChange &change : record.documents)
            latestDigests[change.key] = change.digest;
    }
    for (const auto &[key, digest] : latestDigests) {
        const auto localDocument = this->localSource->documents.find(key);
        const bool isAvailable = !this->usesSnapshot
                && localDocument != this->localSource->documents.end()
                && localDocument->second.digest == digest;
        if (!digest.empty() && !isAvailable)
            this->missing.emplace(documentObjectName(digest), digest);
    }
}

std::vector<std::string> ConfigurationLoader::missingObjects() const
{
    std::vector<std::string> names;
    for (const auto &[name, digest] : this->missing)
        names.push_back(name);
    return names;
}

bool ConfigurationLoader::addObject(const std::string &name, const std::string &text, Error &reason)
{
    const auto found = this->missing.find(name);
    if (found == this->missing.end())
        return true;
    const std::string digest = found->second;
    if (sha256Hex(text) != digest) {
        reason = {ErrorCode::ConfigurationInvalid,
                  RunState::NotRun,
                  "object " + name + " does not match its digest",
                  {}};
        return false;
    }
    this->missing.erase(found);
    if (name == snapshotObjectName(digest))
        return this->addIndex(text, reason);
    if (name == chunkObjectName(digest))
        return addChunk(text, this->chunkDocuments, reason);
    this->bodies[digest] = text;
    return true;
}

std::shared_ptr<const ConfigurationSource> ConfigurationLoader::result() const
{
    if (this->head.revision <= this->localSource->revision)
        return this->localSource;
    auto source = std::make_shared<ConfigurationSource>();
    source->documents = this->usesSnapshot ? this->chunkDocuments : this->localSource->documents;
    source->revision = this->head.revision;
    source->changes = this->head.changes;
    const std::uint64_t baseRevision =
            this->usesSnapshot ? this->head.snapshotRevision : this->localSource->revision;
    for (const ChangeRecord &record : this->head.changes) {
        if (record.revision <= baseRevision)
            continue;
        for (const DocumentChange &change : record.documents) {
            const auto body = this->bodies.find(change.digest);
            if (change.digest.empty())
                source->documents.erase(change.key);
            else if (body != this->bodies.end())
                source->documents[change.key] = makeStoredDocument(body->second, record.revision);
            else if (const auto localDocument = this->localSource->documents.find(change.key);
                     localDocument != this->localSource->documents.end()
                     && localDocument->second.digest == change.digest) {
                // The body was not read again, but an earlier change may have removed the entry.
                StoredDocument document = localDocument->second;
                document.revision = record.revision;
                source->documents[change.key] = std::move(document);
            }
        }
    }
    return source;
}

bool ConfigurationLoader::addIndex(const std::string &text, Error &reason)
{
    const auto chunks = parseSnapshotIndex(text, reason);
    if (!chunks)
        return false;
    for (const std::string &digest : *chunks)
        this->missing.emplace(chunkObjectName(digest), digest);
    return true;
}

} // namespace sassafrasyard
