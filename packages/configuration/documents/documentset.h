#pragma once

#include "configuration/documents/configurationdocument.h"
#include "configuration/documents/configurationfault.h"
#include "configuration/documents/documentkey.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace sassafrasyard {

/** A document as the revision log holds it. */
struct StoredDocument
{
    /** The body as canonical JSON text, shared between revisions. */
    std::shared_ptr<const std::string> body;
    /** The SHA-256 digest of the body in hexadecimal digits. */
    std::string digest;
    /** The revision that last changed the document. */
    std::uint64_t revision = 0;
};

/** The documents of one revision. */
using DocumentSet = std::map<DocumentKey, StoredDocument>;

/** A document as an operator proposes it. */
struct ProposedDocument
{
    /** Which document. */
    DocumentKey key;
    /** The new body as canonical JSON text; nothing removes the document. */
    std::optional<std::string> body;
};

/** Returns a stored document with its digest. */
StoredDocument makeStoredDocument(std::string body, std::uint64_t revision);

/**
 * Reads an operator's documents: a JSON list of objects with "document" (the key) and either the
 * body's fields or "remove": true.
 *
 * @param faults receives MalformedDocument and Duplicate faults.
 */
std::vector<ProposedDocument> parseProposedDocuments(std::string_view text,
                                                     std::vector<ConfigurationFault> &faults);

/** Formats a set as text that parseProposedDocuments() reads. */
std::string formatDocuments(const DocumentSet &documents);

/** Returns the set with the proposals carried out. @param revision is given to what changes. */
DocumentSet applyProposals(DocumentSet documents, const std::vector<ProposedDocument> &proposals,
                           std::uint64_t revision);

/**
 * Checks a whole set and fills every client account's template.
 *
 * @param faults receives all faults of all documents.
 * @return the configuration, or nothing if there is a fault.
 */
std::optional<Configuration> resolveConfiguration(const DocumentSet &documents,
                                                  std::uint64_t revision,
                                                  std::vector<ConfigurationFault> &faults);

} // namespace sassafrasyard
