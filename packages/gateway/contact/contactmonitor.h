#pragma once

#include "entry/entry.h"
#include "gateway/servers/servercatalogue.h"
#include "policy/policy.h"
#include "protocol/protocol.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace sassafrasyard {

/** The terms on which a host takes the calls of peers that can't reach a service. */
struct RelayOffer
{
    /** Where it takes them, "IP:port". */
    std::string address;
    /** The version of its routes. */
    std::uint64_t configurationVersion = 0;
};

/** The functions that connect a ContactMonitor to the rest of its host; all of them may be empty.
 */
struct ContactHooks
{
    /**
     * Called when a service has become unreached, or reached again.
     *
     * @param since when it became unreached.
     */
    std::function<void(const std::string &service, bool isUnreached, Milliseconds since)> onChange;
    /** Returns the terms on which this host takes relayed calls, or nothing if it takes none. */
    std::function<std::optional<RelayOffer>()> relayOffer;
};

/**
 * Finds out whether this host can reach the servers of each service, and answers peers that ask.
 *
 * A check opens connections to some servers of a service, then to more if none of these accepts,
 * and closes them at once; no request is sent. All calls must come from the thread of the gateway.
 */
class ContactMonitor
{
public:
    /**
     * Creates a monitor that knows nothing.
     *
     * @param servers must outlive it.
     * @param clock must count suspension.
     */
    ContactMonitor(EntryState &entry, boost::asio::io_context &context,
                   const ServerCatalogue &servers, Clock clock);
    ContactMonitor(const ContactMonitor &) = delete;
    ContactMonitor &operator=(const ContactMonitor &) = delete;

    /** Sets the hooks. */
    void setHooks(ContactHooks newHooks);

    /** Records that a server accepted a new connection. */
    void recordAccepted(const std::string &service);
    /** Records that a server did not accept a new connection; starts a check if one is due. */
    void recordFailedConnection(const std::string &service);
    /** Records that a request was sent to a server. */
    void recordSent(const std::string &service);
    /** Records that bytes of a server were received. */
    void recordReceived(const std::string &service);

    /** Returns whether this host can't reach the servers of a service, as far as is known. */
    bool isUnreached(std::string_view service) const;
    /** Returns what is known of a service. */
    ContactState state(std::string_view service) const;
    /** Returns since when a service is unreached, or nothing. */
    std::optional<Milliseconds> unreachedSince(std::string_view service) const;
    /** Returns the services of which something is known. */
    std::vector<std::string> services() const;

    /**
     * Returns whether a service can be reached; if a connection has failed lately, only after the
     * end of the check.
     */
    boost::asio::awaitable<bool> isReachedAfterCheck(std::string service);
    /** Answers a peer, after a check if no server accepted a connection lately. */
    boost::asio::awaitable<ServiceContactReply> answer(ServiceContactRequest request);

    /** Starts the checks that are due. Call it several times a second. */
    void advance();

private:
    struct Check;

    std::shared_ptr<Check> startCheck(const std::string &service);
    boost::asio::awaitable<void> check(std::string service);
    boost::asio::awaitable<void> waitForCheck(std::string service);
    boost::asio::awaitable<bool> tryServers(std::span<const std::string> addresses);
    std::vector<std::string> sampleAddresses(const std::string &service);
    void recordResult(const std::string &service, bool isAccepted, std::size_t triedServers);
    void forget(const std::string &service);

    EntryState &entry;
    boost::asio::io_context &context;
    const ServerCatalogue &servers;
    Clock clock;
    ServiceContact contact;
    RandomSource random;
    ContactHooks hooks;
    /** The checks in progress, by service. */
    std::map<std::string, std::shared_ptr<Check>> checks;
};

} // namespace sassafrasyard
