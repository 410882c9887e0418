#pragma once

#include "configuration/revisions/revisionhead.h"

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace sassafrasyard {

/** The objects that hold a snapshot of all documents. */
struct Snapshot
{
    /** The digest of the index; the head names it. */
    std::string digest;
    /** The objects to write, by name, the index last. */
    std::vector<std::pair<std::string, std::string>> objects;
};

/** Builds a snapshot: documents in chunks by the hash of their key, and an index of the chunks. */
Snapshot makeSnapshot(const DocumentSet &documents);

/** Returns the chunk digests of an index. @param reason receives ConfigurationInvalid. */
std::optional<std::vector<std::string>> parseSnapshotIndex(std::string_view text, Error &reason);

/** Adds a chunk's documents to a set. @param reason receives ConfigurationInvalid. */
bool addChunk(std::string_view text, DocumentSet &documents, Error &reason);

} // namespace sassafrasyard
