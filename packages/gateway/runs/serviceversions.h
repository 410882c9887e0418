#pragma once

#include "core/core.h"

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace sassafrasyard {

/** The software versions of servers, by the name of their service. */
using VersionsByService = std::map<std::string, std::set<SoftwareVersion>, std::less<>>;

/** Limits of a ServiceVersions. */
struct ServiceVersionsOptions
{
    /**
     * How long a version that no server has any more counts as recent, in milliseconds. It must
     * cover the longest stream and the time within which its caller resumes it.
     */
    Milliseconds retention{60'000};
    /** How many versions of one service are kept; at least 2. */
    std::size_t maximumVersions = 16;
    /** How many services are kept. */
    std::size_t maximumServices = 4096;
};

/**
 * The software versions that the servers of each service have and had recently, as far as this host
 * can know.
 *
 * A stream that another host began can only be attributed to a version without asking that host if
 * no server of another version can have begun it. Until the history that earlier hosts stored was
 * read, and for services without a stored history, that is unknown. Instants must not decrease.
 */
class ServiceVersions
{
public:
    /** Creates an object that knows nothing. */
    explicit ServiceVersions(ServiceVersionsOptions options = {});

    /** Raises the retention to at least the given one; it never falls. */
    void raiseRetention(Milliseconds retention);
    /** Replaces the versions of the registered servers, leaving ones included. */
    void setPresent(const VersionsByService &present, Milliseconds now);
    /**
     * Adds the history that was read from the store.
     *
     * @param history the recent versions when the history was stored.
     * @param unreadable the services with a malformed history; nothing is known of them for the
     *     retention.
     */
    void applyHistory(const VersionsByService &history, const std::set<std::string> &unreadable,
                      Milliseconds now);
    /** Records that the stored history may have changed; nothing is known until it is read again.
     */
    void forgetHistory();

    /**
     * Returns the only version that can have served any stream of a service which a caller may
     * still resume, or nothing if there are several, none, or that is unknown.
     */
    std::optional<SoftwareVersion> soleVersion(std::string_view service, Milliseconds now) const;
    /**
     * Returns the history to store: the versions of each service that are present or were recently.
     *
     * Services with a malformed history are left out for the retention, so that no host takes what
     * is known by then for the whole history.
     */
    VersionsByService history(Milliseconds now) const;
    /** Removes what has expired. Call it periodically. */
    void advance(Milliseconds now);
    /** Returns the number of services that are kept. */
    std::size_t serviceCount() const;

private:
    struct KnownService
    {
        std::set<SoftwareVersion> present;
        /** The versions that are not present, and since when they count as absent. */
        std::map<SoftwareVersion, Milliseconds> absentSince;
        bool hasStoredHistory = false;
        /** When a malformed history was read. */
        std::optional<Milliseconds> unreadableSince;
        /** When there last were more versions than are kept. */
        std::optional<Milliseconds> incompleteSince;
    };

    KnownService *findOrAdd(const std::string &service, Milliseconds now);
    void replacePresent(KnownService &known, const std::set<SoftwareVersion> &present,
                        Milliseconds now);
    void limitVersions(KnownService &known) const;
    bool isRecent(std::optional<Milliseconds> since, Milliseconds now) const;
    bool isComplete(const KnownService &known, Milliseconds now) const;

    ServiceVersionsOptions options;
    std::map<std::string, KnownService, std::less<>> services;
    bool isHistoryRead = false;
    /** When the history was read for the first time. */
    std::optional<Milliseconds> firstReadAt;
    /** When there last were more services than are kept. */
    std::optional<Milliseconds> incompleteSince;
};

} // namespace sassafrasyard
