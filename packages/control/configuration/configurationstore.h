#pragma once

#include "configuration/configuration.h"
#include "objectstore/objectstore.h"

#include <boost/asio/awaitable.hpp>

#include <memory>

namespace sassafrasyard {

/** Reads and changes the revision log in the platform. */
class ConfigurationStore
{
public:
    /** Creates a store. @param systemClock dates accepted changes. */
    ConfigurationStore(ObjectClient &platform, Clock systemClock);
    ConfigurationStore(const ConfigurationStore &) = delete;
    ConfigurationStore &operator=(const ConfigurationStore &) = delete;

    /** Accepts a change or says why not. @param known the documents in force on this host. */
    boost::asio::awaitable<ChangeOutcome> accept(
            ChangeRequest request, std::shared_ptr<const ConfigurationSource> localSource);

    /**
     * Reads the documents of a head.
     *
     * @param known are not read again.
     * @param reason receives PlatformUnavailable, NotFound or ConfigurationInvalid.
     * @return null on failure; the known documents if the head is not newer.
     */
    boost::asio::awaitable<std::shared_ptr<const ConfigurationSource>> load(
            RevisionHead head, std::shared_ptr<const ConfigurationSource> localSource,
            Error &reason);

    /** Reads the head and its documents; those of revision 0 if there is no head yet. */
    boost::asio::awaitable<std::shared_ptr<const ConfigurationSource>> loadCurrent(
            std::shared_ptr<const ConfigurationSource> localSource, Error &reason);

private:
    boost::asio::awaitable<StepResult> executeStep(AcceptanceStep step);

    ObjectClient &platform;
    Clock systemClock;
};

} // namespace sassafrasyard
