#pragma once

#include "configuration/documents/documentset.h"
#include "core/core.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sassafrasyard {

/** The platform object that identifies the current revision. */
inline constexpr std::string_view headObjectName = "configuration/head";

/** Returns the object that stores a document's body. @param digest of the body. */
std::string documentObjectName(const std::string &digest);
/** Returns the object that stores a snapshot's index. @param digest of the index. */
std::string snapshotObjectName(const std::string &digest);
/** Returns the object that stores a part of a snapshot. @param digest of the part. */
std::string chunkObjectName(const std::string &digest);

/** The effect of a change on one document. */
struct DocumentChange
{
    /** The document's key. */
    DocumentKey key;
    /** The digest of the new body; empty if the document was removed. */
    std::string digest;

    /** Compares both fields. */
    bool operator==(const DocumentChange &) const = default;
};

/** One accepted change. */
struct ChangeRecord
{
    /** The revision that the change created. */
    std::uint64_t revision = 0;
    /** The change identifier, chosen by the operator's client. */
    std::string identifier;
    /** The digest over the proposed documents; distinguishes a repeated change from a reused
     * identifier. */
    std::string contentDigest;
    /** The operator who made the change, as stated in the request. */
    std::string author;
    /** The reason of the change, as stated in the request. */
    std::string comment;
    /** When the change was accepted, in milliseconds since the Unix epoch by the accepting host's
     * clock. */
    Milliseconds acceptedAt{0};
    /** The changed documents; empty if isElided. */
    std::vector<DocumentChange> documents;
    /** Whether the list of documents was removed from the head because it was too long; the
     * documents are in the snapshot. */
    bool isElided = false;

    /** Compares all fields. */
    bool operator==(const ChangeRecord &) const = default;
};

/** The content of the head object. */
struct RevisionHead
{
    /** The current revision. */
    std::uint64_t revision = 0;
    /** The digest of the last snapshot's index; empty if there is none. */
    std::string snapshot;
    /** The revision of the snapshot. */
    std::uint64_t snapshotRevision = 0;
    /** The most recent changes, oldest first, without gaps; the last one created the current
     * revision. */
    std::vector<ChangeRecord> changes;

    /** Returns the change with an identifier, or null if the head does not list it. */
    const ChangeRecord *findChange(std::string_view identifier) const;
    /** Returns whether the head lists all changes after a revision with their documents. */
    bool coversChangesAfter(std::uint64_t baseRevision) const;

    /** Compares all fields. */
    bool operator==(const RevisionHead &) const = default;
};

/** Formats a head as JSON text. */
std::string formatHead(const RevisionHead &head);
/** Parses a head. @param reason receives ConfigurationInvalid. */
std::optional<RevisionHead> parseHead(std::string_view text, Error &reason);

/** Formats change records as a JSON list, in the format of the head and of the admin API. */
std::string formatChangeRecords(const std::vector<ChangeRecord> &records);

} // namespace sassafrasyard
