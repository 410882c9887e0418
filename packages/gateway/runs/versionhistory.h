#pragma once

#include "entry/entry.h"
#include "gateway/runs/serviceversions.h"
#include "gateway/servers/servercatalogue.h"
#include "gateway/store/objectarchivecalls.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>

namespace sassafrasyard {

/** Returns the software versions of registered servers. */
VersionsByService presentVersions(std::span<const ServerEntry> entries);

/**
 * Keeps the recent software versions of each service in the platform's store, one object per
 * service, so that hosts that all start at once know which versions may have begun a stream.
 *
 * An object is written only when the versions of its service have changed, by the host that
 * rendezvous hashing over the live hosts selects for the service. All calls come from one thread.
 */
class VersionHistory
{
public:
    /** Creates a history that is not started. @param clock must count suspension. */
    VersionHistory(EntryState &entry, boost::asio::io_context &context, ObjectArchiveCalls calls,
                   Clock clock, ServiceVersionsOptions options = {});
    VersionHistory(const VersionHistory &) = delete;
    VersionHistory &operator=(const VersionHistory &) = delete;

    /** Reads the stored history; retries until the store answers. */
    void start();
    /** Reads the stored history again, because the store was restored from a copy. */
    void readAgain();
    /** Raises the time for which a version counts as recent; it never falls. */
    void raiseRetention(Milliseconds retention);
    /** Replaces the versions of the registered servers, leaving ones included. */
    void setPresent(const VersionsByService &present);
    /** Returns the version that has served all recent streams of a service; see ServiceVersions. */
    std::optional<SoftwareVersion> soleVersion(std::string_view service) const;
    /** Drops what has expired and stores changes. Call it every second or so. */
    void advance();

    /** Encodes the versions of a service as JSON text. */
    static std::string encode(const std::set<SoftwareVersion> &versions);
    /** Decodes the versions of a service; fails with InvalidRequest. */
    static std::optional<std::set<SoftwareVersion>> decode(const RegisteredObject &object,
                                                           Error &reason);

private:
    boost::asio::awaitable<void> read();
    void applyObjects(const std::vector<RegisteredObject> &objects);
    void storeChanges();
    boost::asio::awaitable<void> writeChanges();
    boost::asio::awaitable<bool> writeService(std::string service);
    std::set<std::string> changedServices() const;
    bool isWriter(const std::string &service) const;

    EntryState &entry;
    boost::asio::io_context &context;
    ObjectArchiveCalls calls;
    Clock clock;
    ServiceVersions versions;
    /** What is stored as far as this host read or wrote it. */
    VersionsByService stored;
    bool arePresentKnown = false;
    bool isHistoryRead = false;
    bool isReading = false;
    bool needsRead = false;
    bool isWriting = false;
};

} // namespace sassafrasyard
