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
    /** The digest of the index, which the head refers to. */
    std::string digest;
    /** The objects to write, as pairs of name and value; the index is the last one. */
    std::vector<std::pair<std::string, std::string>> objects;
};

/** Builds a snapshot: chunks of documents, grouped by the hash of the key, and an index of them. */
Snapshot makeSnapshot(const DocumentSet &documents);

/** Parses an index into the digests of its chunks. @param reason receives ConfigurationInvalid. */
std::optional<std::vector<std::string>> parseSnapshotIndex(std::string_view text, Error &reason);

/** Adds a chunk's documents to a set. @param reason receives ConfigurationInvalid. */
bool addChunk(std::string_view text, DocumentSet &documents, Error &reason);

} // namespace sassafrasyard
