#pragma once

#include "configuration/revisions/configurationsource.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace sassafrasyard {

/**
 * Formats what a peer with an older revision needs: the documents changed since then if the
 * changes are known, a page of all documents otherwise.
 *
 * @param knownRevision the peer's revision.
 * @param after the key of the last document the peer got of this revision; empty at the start.
 */
std::string formatTransferPage(const ConfigurationSource &source, std::uint64_t knownRevision,
                               const std::string &after);

/**
 * Puts the pages of one transfer together.
 *
 * Pure: pages come in until result() has a source. A page of another revision starts anew.
 */
class TransferReader
{
public:
    /** Starts a transfer. @param known the documents in force on this host. */
    explicit TransferReader(std::shared_ptr<const ConfigurationSource> localSource);
    TransferReader(const TransferReader &) = delete;
    TransferReader &operator=(const TransferReader &) = delete;

    /** Takes in a page. @param reason receives ConfigurationInvalid. */
    bool addPage(std::string_view page, Error &reason);
    /** Returns the key to ask the next page after; empty if nothing is missing. */
    const std::string &nextAfter() const;
    /** Returns the new documents, or null until all pages are there. */
    std::shared_ptr<const ConfigurationSource> result() const;

private:
    std::shared_ptr<const ConfigurationSource> localSource;
    std::shared_ptr<ConfigurationSource> collected;
    std::string after;
    bool isComplete = false;
};

} // namespace sassafrasyard
