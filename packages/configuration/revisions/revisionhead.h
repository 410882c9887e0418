#pragma once

#include "configuration/documents/documentset.h"
#include "core/core.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sassafrasyard {

/** The platform object that names the revision in force. */
inline constexpr std::string_view headObjectName = "configuration/head";

/** Returns the object that stores a document's body. @param digest of the body. */
std::string documentObjectName(const std::string &digest);
/** Returns the object that stores a snapshot's index. @param digest of the index. */
std::string snapshotObjectName(const std::string &digest);
/** Returns the object that stores a part of a snapshot. @param digest of the part. */
std::string chunkObjectName(const std::string &digest);

/** What a change did to one document. */
struct DocumentChange
{
    /** Which document. */
    DocumentKey key;
    /** The digest of the new body; empty if the document was removed. */
    std::string digest;

    /** Compares both fields. */
    bool operator==(const DocumentChange &) const = default;
};

/** One accepted change. */
struct ChangeRecord
{
    /** The revision that the change made. */
    std::uint64_t revision = 0;
    /** The change identifier, chosen by the operator's client. */
    std::string identifier;
    /** A digest over the proposed documents; tells a repeated change from a reused identifier. */
    std::string contentDigest;
    /** Who made the change, as stated. */
    std::string author;
    /** Why, as stated. */
    std::string comment;
    /** When it was accepted, in milliseconds since the Unix epoch on the accepting host. */
    Milliseconds acceptedAt{0};
    /** The changed documents; empty if isElided. */
    std::vector<DocumentChange> documents;
    /** Whether the list of documents was too long for the head and is only in the snapshot. */
    bool isElided = false;

    /** Compares all fields. */
    bool operator==(const ChangeRecord &) const = default;
};

/** The content of the head object. */
struct RevisionHead
{
    /** The revision in force. */
    std::uint64_t revision = 0;
    /** The digest of the last snapshot's index; empty if there is none. */
    std::string snapshot;
    /** The revision of the snapshot. */
    std::uint64_t snapshotRevision = 0;
    /** The last changes, oldest first, without gaps, the last one being the revision in force. */
    std::vector<ChangeRecord> changes;

    /** Returns the change with an identifier, or null if it is not among the last ones. */
    const ChangeRecord *findChange(std::string_view identifier) const;
    /** Returns whether the changes after a revision are all listed with their documents. */
    bool coversChangesAfter(std::uint64_t baseRevision) const;

    /** Compares all fields. */
    bool operator==(const RevisionHead &) const = default;
};

/** Writes a head as JSON text. */
std::string formatHead(const RevisionHead &head);
/** Reads a head. @param reason receives ConfigurationInvalid. */
std::optional<RevisionHead> parseHead(std::string_view text, Error &reason);

/** Writes change records as a JSON list, as the head and the operators' history show them. */
std::string formatChangeRecords(const std::vector<ChangeRecord> &records);

} // namespace sassafrasyard
