#pragma once

#include "configuration/configuration.h"
#include "objectstore/objectstore.h"

#include <boost/asio/awaitable.hpp>

#include <memory>

namespace sassafrasyard {

/** Reads and changes the configuration revisions stored in the platform. */
class ConfigurationStore
{
public:
    /** Creates a store. @param systemClock provides the timestamps of accepted changes. */
    ConfigurationStore(ObjectClient &platform, Clock systemClock);
    ConfigurationStore(const ConfigurationStore &) = delete;
    ConfigurationStore &operator=(const ConfigurationStore &) = delete;

    /**
     * Validates and stores a change; retries if the platform fails for a short time.
     *
     * @param localSource the documents that this host runs, which are not read again.
     * @return the accepted revision, or the reason of the rejection.
     */
    boost::asio::awaitable<ChangeOutcome> accept(
            ChangeRequest request, std::shared_ptr<const ConfigurationSource> localSource);

    /**
     * Reads the documents of a head.
     *
     * @param localSource the documents that this host runs, which are not read again.
     * @param reason receives PlatformUnavailable, NotFound or ConfigurationInvalid.
     * @return null on failure; localSource if the head is not newer.
     */
    boost::asio::awaitable<std::shared_ptr<const ConfigurationSource>> load(
            RevisionHead head, std::shared_ptr<const ConfigurationSource> localSource,
            Error &reason);

    /**
     * Reads the head and its documents.
     *
     * @param localSource the documents that this host runs; returned if there is no head yet,
     * when it normally has revision 0.
     * @param reason receives PlatformUnavailable, NotFound or ConfigurationInvalid.
     * @return null on failure.
     */
    boost::asio::awaitable<std::shared_ptr<const ConfigurationSource>> loadCurrent(
            std::shared_ptr<const ConfigurationSource> localSource, Error &reason);

private:
    boost::asio::awaitable<StepResult> executeStep(AcceptanceStep step);

    ObjectClient &platform;
    Clock systemClock;
};

} // namespace sassafrasyard
