#pragma once

#include "core/core.h"

#include <cstdint>
#include <map>
#include <span>

namespace sassafrasyard {

/** An entry host as it matters for permits. */
struct PermitHost
{
    /** The host. */
    HostName name;
    /** Whether it is considered alive; false for one that was lost. */
    bool isLive = true;
};

/**
 * Chooses the host that grants the permits for a server process, by rendezvous hashing among the
 * live hosts. Uses no clock or other input.
 */
class GrantingHosts
{
public:
    /** How long a lost host counts as one that may be alive but out of sight. */
    static constexpr Milliseconds lostHostRetention{300000};

    /** Creates an object whose only host is this one. */
    explicit GrantingHosts(HostName self);

    /** Replaces the hosts. Hosts that leave as planned are left out. */
    void setHosts(std::span<const PermitHost> hosts, Milliseconds now);
    /** Leaves this host out from the next setHosts() on, if another host is live then. */
    void leave();
    /** Returns the host that grants the permits for a server process. */
    HostName granter(const BackendServerName &run) const;
    /** Returns whether this host grants the permits for a server process. */
    bool isGranter(const BackendServerName &run) const;
    /** Returns the share of this host if all hosts, lost ones too, have the same, in (0, 1]. */
    double ownShare() const;
    /** Returns the share of the hosts that this host sees, in (0, 1]. */
    double visibleShare() const;

private:
    HostName self;
    bool isLeaving = false;
    /** The live hosts and the hashes of their names. */
    std::map<HostName, std::uint64_t> liveHosts;
    /** When each lost host was last seen alive. */
    std::map<HostName, Milliseconds> lostHosts;
};

} // namespace sassafrasyard
