#pragma once

#include "configuration/documents/documentset.h"
#include "configuration/revisions/revisionhead.h"

#include <cstdint>
#include <memory>
#include <vector>

namespace sassafrasyard {

/** The documents of one revision with the last changes; immutable once shared. */
struct ConfigurationSource
{
    /** The revision. */
    std::uint64_t revision = 0;
    /** All documents. */
    DocumentSet documents;
    /** The last changes up to the revision, oldest first, without gaps; may be empty. */
    std::vector<ChangeRecord> changes;
};

/**
 * Resolves a source and attaches it to the result.
 *
 * @param faults receives the faults of the documents.
 */
std::optional<Configuration> resolveSource(std::shared_ptr<const ConfigurationSource> source,
                                           std::vector<ConfigurationFault> &faults);

/** Returns the source of a configuration; an empty one of revision 0 if it has none. */
std::shared_ptr<const ConfigurationSource> configurationSource(const Configuration &configuration);

} // namespace sassafrasyard
