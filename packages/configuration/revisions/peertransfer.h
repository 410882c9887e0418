#pragma once

#include "configuration/revisions/configurationsource.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace sassafrasyard {

/**
 * Formats a page for a peer with an older revision: the documents changed since that revision if
 * the changes are still listed, otherwise a page of all documents.
 *
 * @param knownRevision the peer's revision.
 * @param after the key of the last document that the peer received of this revision; empty at the
 * start.
 */
std::string formatTransferPage(const ConfigurationSource &source, std::uint64_t knownRevision,
                               const std::string &after);

/**
 * Combines the pages of one transfer.
 *
 * Pure: the driver adds pages until result() returns a source. A page of another revision restarts
 * the transfer.
 */
class TransferReader
{
public:
    /** Starts a transfer. @param localSource the documents that this host runs. */
    explicit TransferReader(std::shared_ptr<const ConfigurationSource> localSource);
    TransferReader(const TransferReader &) = delete;
    TransferReader &operator=(const TransferReader &) = delete;

    /** Adds a page. @param reason receives ConfigurationInvalid. @return whether it was valid. */
    bool addPage(std::string_view page, Error &reason);
    /** Returns the document key after which the next page must start; empty at the start and the
     * end. */
    const std::string &nextAfter() const;
    /** Returns the new documents, or null until all pages were added. */
    std::shared_ptr<const ConfigurationSource> result() const;

private:
    std::shared_ptr<const ConfigurationSource> localSource;
    std::shared_ptr<ConfigurationSource> collected;
    std::string after;
    bool isComplete = false;
};

} // namespace sassafrasyard
