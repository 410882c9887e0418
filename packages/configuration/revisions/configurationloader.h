#pragma once

#include "configuration/revisions/configurationsource.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace sassafrasyard {

/**
 * Collects the documents of a head, reusing the documents that this host already has.
 *
 * Pure: the driver reads the missing objects and adds them until none is missing.
 */
class ConfigurationLoader
{
public:
    /** Starts loading. @param localSource this host's documents, which are not read again. */
    ConfigurationLoader(RevisionHead head,
                        std::shared_ptr<const ConfigurationSource> newLocalSource);
    ConfigurationLoader(const ConfigurationLoader &) = delete;
    ConfigurationLoader &operator=(const ConfigurationLoader &) = delete;

    /** Returns the names of the objects to read next; empty when loading is complete. */
    std::vector<std::string> missingObjects() const;
    /**
     * Adds a missing object; ignores an object that is not missing.
     *
     * @param reason receives ConfigurationInvalid if the text does not match its digest.
     */
    bool addObject(const std::string &name, const std::string &text, Error &reason);
    /** Returns the documents of the head's revision. Call it when missingObjects() is empty. */
    std::shared_ptr<const ConfigurationSource> result() const;

private:
    bool addIndex(const std::string &text, Error &reason);

    RevisionHead head;
    std::shared_ptr<const ConfigurationSource> localSource;
    std::map<std::string, std::string> missing;
    std::map<std::string, std::string> bodies;
    DocumentSet chunkDocuments;
    bool usesSnapshot = false;
};

} // namespace sassafrasyard
