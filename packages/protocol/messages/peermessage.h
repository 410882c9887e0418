#pragma once

#include "core/core.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace sassafrasyard {

/** What is believed of a member; at equal versions the later value wins. */
enum class MemberState : std::uint8_t {
    Alive = 0,
    Suspect = 1,
    Leaving = 2,
    Dead = 3,
};

/** One entry host as its peers know it. */
struct MemberRecord
{
    /** The host. */
    HostName host;
    /** This run of the daemon; the key of the record. */
    HostIncarnation incarnation;
    /** The failure domain. */
    FailureDomainName failureDomain;
    /** The region. */
    std::string region;
    /** "IP:port" for peers. */
    std::string peerAddress;
    /** "IP:port" for callers. */
    std::string callerAddress;
    /** The believed state. */
    MemberState state = MemberState::Alive;
    /** Raised by the member itself to refute a wrong state or to announce a change. */
    std::uint32_t version = 0;
    /** Whether the member takes callers; one that lost what it decides by is alive but does not. */
    bool isServing = true;

    /** Compares all fields. */
    bool operator==(const MemberRecord &) const = default;
};

/** One backend server's outstanding work of the sending host. */
struct LoadEntryMessage
{
    /** The backend server. */
    std::string server;
    /** Requests running there. */
    std::uint32_t running = 0;
    /** Reserved engine memory in tokens. */
    std::uint32_t reservedTokens = 0;
    /** Tokens of prompts that have produced nothing yet. */
    std::uint32_t pendingPromptTokens = 0;

    /** Compares all fields. */
    bool operator==(const LoadEntryMessage &) const = default;
};

/** The sending host's use of one client account's limits. */
struct AccountUseMessage
{
    /** The client account. */
    std::string account;
    /** Requests that wait or run. */
    std::uint32_t running = 0;
    /** Requests started per second. */
    double startsPerSecond = 0.0;

    /** Compares all fields. */
    bool operator==(const AccountUseMessage &) const = default;
};

/** One death of a backend server on which a request was running. */
struct QuarantineMessage
{
    /** The request's digest. */
    std::uint64_t requestDigest = 0;
    /** How many deaths the sender counts. */
    std::uint32_t deaths = 0;
    /** How long the record still counts, in milliseconds. */
    std::uint64_t remainingMilliseconds = 0;
    /** Names the death; 0 for a run that did not crash its server, which older hosts ignore. */
    std::uint64_t incident = 0;
    /** A digest of the backend server's name; the run's name if incident is 0. */
    std::uint64_t serverDigest = 0;

    /** Compares all fields. */
    bool operator==(const QuarantineMessage &) const = default;
};

/** What travels with every probe and reply. */
struct Gossip
{
    /** Changes of members. */
    std::vector<MemberRecord> members;
    /** The host whose load entries these are. */
    std::string loadHost;
    /** Rises with each load digest of that host; 0 if there is none. */
    std::uint64_t loadSequence = 0;
    /** Load entries of that host. */
    std::vector<LoadEntryMessage> load;
    /** That host's use of account limits. */
    std::vector<AccountUseMessage> accounts;
    /** Quarantine records. */
    std::vector<QuarantineMessage> quarantine;
    /** Backend servers that said they are leaving. */
    std::vector<std::string> leavingServers;
    /** The configuration revision in force at the sender. */
    std::uint64_t revision = 0;

    /** Compares all fields. */
    bool operator==(const Gossip &) const = default;
};

/** Asks a peer whether it is alive. */
struct Probe
{
    /** Matches the reply to the probe. */
    std::uint64_t sequence = 0;
    /** The sender. */
    MemberRecord sender;
    /** Whether the sender wants the whole member table, as when it joins. */
    bool wantsAllMembers = false;
    /** The sender's news. */
    Gossip gossip;
};

/** Answers a Probe. */
struct ProbeReply
{
    /** The probe's sequence. */
    std::uint64_t sequence = 0;
    /** The answering member. */
    MemberRecord sender;
    /** The answering member's news. */
    Gossip gossip;
};

/** Asks a peer to probe a third member. */
struct IndirectProbe
{
    /** Matches the reply. */
    std::uint64_t sequence = 0;
    /** The peer address to probe. */
    std::string target;
};

/** Answers an IndirectProbe. */
struct IndirectProbeReply
{
    /** The request's sequence. */
    std::uint64_t sequence = 0;
    /** Whether the target answered. */
    bool isAlive = false;
};

/** Asks a peer for configuration. */
struct ConfigurationPull
{
    /** Matches the reply. */
    std::uint64_t sequence = 0;
    /** The revision that the sender already has. */
    std::uint64_t knownRevision = 0;
    /** The key of the last document of a reply in pages; empty to begin. */
    std::string after;
};

/** Answers a ConfigurationPull. */
struct ConfigurationReply
{
    /** The request's sequence. */
    std::uint64_t sequence = 0;
    /** The revision; not above the known one if there is nothing newer. */
    std::uint64_t revision = 0;
    /** The changed documents, or a page of all, as JSON text; empty if there is nothing newer. */
    std::string document;
};

/** Forwards a caller's plain call to the incarnation that owns its idempotency key. */
struct ForwardCall
{
    /** Matches the reply. */
    std::uint64_t sequence = 0;
    /** The incarnation that the call is bound to; another one must refuse. */
    std::string incarnation;
    /** The authenticated client account. */
    std::string account;
    /** The service. */
    std::string service;
    /** The path inside the service. */
    std::string path;
    /** The idempotency key. */
    std::string key;
    /** The body. */
    std::string body;
};

/** Answers a ForwardCall. */
struct ForwardReply
{
    /** The request's sequence. */
    std::uint64_t sequence = 0;
    /** The HTTP status for the caller. */
    std::uint32_t status = 0;
    /** The body for the caller. */
    std::string body;
    /** When to come back, in milliseconds; 0 if not stated. */
    std::uint64_t retryAfterMilliseconds = 0;
};

/** Tells a peer this host's load between probes; has no reply. */
struct LoadUpdate
{
    /** The sender's load, quarantine records and leaving backend servers; no members. */
    Gossip gossip;
};

/** Asks a peer for what it has read of one kind of object in the platform's store. */
struct ObjectRead
{
    /** Matches the reply. */
    std::uint64_t sequence = 0;
    /** The kind of object. */
    std::string kind;
    /** Whether all objects are wanted, or only changes. */
    bool wantsAll = false;
    /** The revision up to which the sender knows everything. */
    std::uint64_t since = 0;
    /** How long to wait for changes, in milliseconds. */
    std::uint64_t waitMilliseconds = 0;
};

/** What the answer to an ObjectRead says. */
enum class ObjectReadResult : std::uint8_t {
    /** The objects and changes that were asked for. */
    Known = 0,
    /** The changes since then are not known; all objects have to be read. */
    HistoryGone = 1,
    /** The peer does not know the kind, or less than the sender. */
    Unknown = 2,
    /** The objects are too large to be passed on. */
    TooLarge = 3,
};

/** One object of the platform's store, or its removal. */
struct SharedObject
{
    /** Its name, unique within its kind. */
    std::string name;
    /** The store's revision of its last change. */
    std::uint64_t revision = 0;
    /** What its writer stored, as JSON text. */
    std::string value;
    /** Whether it was removed. */
    bool isRemoved = false;

    /** Compares all fields. */
    bool operator==(const SharedObject &) const = default;
};

/** Answers an ObjectRead. */
struct ObjectReadReply
{
    /** The request's sequence. */
    std::uint64_t sequence = 0;
    /** What the answer says; the other fields count only with Known. */
    ObjectReadResult result = ObjectReadResult::Unknown;
    /** The store's revision up to which the peer knows everything. */
    std::uint64_t revision = 0;
    /** The highest revision of an object that the peer knows. */
    std::uint64_t newestRevision = 0;
    /** How long before this answer that was true, in milliseconds. */
    std::uint64_t ageMilliseconds = 0;
    /** A digest of all objects' names and revisions at the peer. */
    std::uint64_t digest = 0;
    /** The objects or changes, oldest first. */
    std::vector<SharedObject> objects;
};

/** Any message between entry hosts. */
using PeerMessage = std::variant<Probe, ProbeReply, IndirectProbe, IndirectProbeReply,
                                 ConfigurationPull, ConfigurationReply, ForwardCall, ForwardReply,
                                 LoadUpdate, ObjectRead, ObjectReadReply>;

} // namespace sassafrasyard
