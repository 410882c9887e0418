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

/** A document of a revision. */
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

/** A document in a change that an operator proposes. */
struct ProposedDocument
{
    /** The document's key. */
    DocumentKey key;
    /** The new body as canonical JSON text; nothing removes the document. */
    std::optional<std::string> body;
};

/** Creates a stored document and computes its digest. */
StoredDocument makeStoredDocument(std::string body, std::uint64_t revision);

/**
 * Parses the documents of a change: a JSON list of objects with "document" (the key) and either the
 * body's fields or "remove": true.
 *
 * @param faults receives MalformedDocument and Duplicate faults.
 */
std::vector<ProposedDocument> parseProposedDocuments(std::string_view text,
                                                     std::vector<ConfigurationFault> &faults);

/** Formats a set as JSON text for parseProposedDocuments(). */
std::string formatDocuments(const DocumentSet &documents);

/** Returns the set with the proposals applied. @param revision is set on the changed documents. */
DocumentSet applyProposals(DocumentSet documents, const std::vector<ProposedDocument> &proposals,
                           std::uint64_t revision);

/**
 * Validates all documents and builds the configuration, with each client account's template filled.
 *
 * @param faults receives all faults of all documents.
 * @return the configuration, or nothing if there is a fault.
 */
std::optional<Configuration> resolveConfiguration(const DocumentSet &documents,
                                                  std::uint64_t revision,
                                                  std::vector<ConfigurationFault> &faults);

} // namespace sassafrasyard
