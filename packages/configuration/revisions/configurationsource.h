#pragma once

#include "configuration/documents/documentset.h"
#include "configuration/revisions/revisionhead.h"

#include <cstdint>
#include <memory>
#include <vector>

namespace sassafrasyard {

/** The documents of one revision and the most recent changes; immutable once shared. */
struct ConfigurationSource
{
    /** The revision of the documents; 0 if nothing was accepted yet. */
    std::uint64_t revision = 0;
    /** All documents. */
    DocumentSet documents;
    /** The most recent changes up to the revision, oldest first, without gaps; may be empty. */
    std::vector<ChangeRecord> changes;
};

/**
 * Validates the documents of a source and builds the configuration, which refers to the source.
 *
 * @param faults receives the faults of the documents.
 */
std::optional<Configuration> resolveSource(std::shared_ptr<const ConfigurationSource> source,
                                           std::vector<ConfigurationFault> &faults);

/** Returns the source of a configuration; an empty one of revision 0 if it has none. */
std::shared_ptr<const ConfigurationSource> configurationSource(const Configuration &configuration);

} // namespace sassafrasyard
