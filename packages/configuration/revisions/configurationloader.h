#pragma once

#include "configuration/revisions/configurationsource.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace sassafrasyard {

/**
 * Collects what a head refers to, starting from the documents this host already has.
 *
 * Pure: the driver reads the wanted objects and supplies them until none is wanted.
 */
class ConfigurationLoader
{
public:
    /** Starts loading. @param known the host's own documents; unused parts are not read again. */
    ConfigurationLoader(RevisionHead head, std::shared_ptr<const ConfigurationSource> known);
    ConfigurationLoader(const ConfigurationLoader &) = delete;
    ConfigurationLoader &operator=(const ConfigurationLoader &) = delete;

    /** Returns the names of the objects to read next; empty when loading is complete. */
    std::vector<std::string> wanted() const;
    /**
     * Takes in a wanted object.
     *
     * @param reason receives ConfigurationInvalid if the text does not match its digest.
     */
    bool supply(const std::string &name, const std::string &text, Error &reason);
    /** Returns the documents of the head's revision. Call it when wanted() is empty. */
    std::shared_ptr<const ConfigurationSource> result() const;

private:
    bool expandIndex(const std::string &text, Error &reason);

    RevisionHead head;
    std::shared_ptr<const ConfigurationSource> base;
    std::map<std::string, std::string> pending;
    std::map<std::string, std::string> bodies;
    DocumentSet chunkDocuments;
    bool usesSnapshot = false;
};

} // namespace sassafrasyard
