#pragma once

#include "core/core.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace sassafrasyard {

/** The state of a member as seen by a host; at equal versions the higher value has priority. */
enum class MemberState : std::uint8_t {
    /** The member answers probes. */
    Alive = 0,
    /** The member did not answer probes and may still refute the suspicion. */
    Suspect = 1,
    /** The member has announced a planned stop. */
    Leaving = 2,
    /** The member is considered gone. */
    Dead = 3,
};

/** One entry host as known to its peers. */
struct MemberRecord
{
    /** The host. */
    HostName host;
    /** The incarnation of the host, which is the key of the record. */
    HostIncarnation incarnation;
    /** The failure domain. */
    FailureDomainName failureDomain;
    /** The region. */
    std::string region;
    /** The "IP:port" for peers. */
    std::string peerAddress;
    /** The "IP:port" for callers. */
    std::string callerAddress;
    /** The state as seen by the sender. */
    MemberState state = MemberState::Alive;
    /** Increased only by the member itself, to refute a wrong state or to announce a change. */
    std::uint32_t version = 0;
    /**
     * Whether the member accepts callers. A member that has lost the data for its decisions is
     * alive but does not accept callers.
     */
    bool isServing = true;

    /** Compares all fields. */
    bool operator==(const MemberRecord &) const = default;
};

/** The outstanding work of the sending host on one backend server. */
struct LoadEntryMessage
{
    /** The backend server. */
    std::string server;
    /** Requests running there. */
    std::uint32_t running = 0;
    /** Reserved engine memory in tokens. */
    std::uint32_t reservedTokens = 0;
    /** Tokens of prompts that have not produced a token yet. */
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

/** One crash of a backend server that was running a request. */
struct QuarantineMessage
{
    /** The request's digest. */
    std::uint64_t requestDigest = 0;
    /** The number of crashes that the sender has counted. */
    std::uint32_t deaths = 0;
    /** The remaining validity of the record, in milliseconds. */
    std::uint64_t remainingMilliseconds = 0;
    /** Identifies the crash; 0 for a run without a crash, which older hosts ignore. */
    std::uint64_t incident = 0;
    /** A digest of the backend server's name; if incident is 0, the name of the run. */
    std::uint64_t serverDigest = 0;

    /** Compares all fields. */
    bool operator==(const QuarantineMessage &) const = default;
};

/** The updates that every probe and reply contains. */
struct Gossip
{
    /** Changed member records. */
    std::vector<MemberRecord> members;
    /** The host whose load entries these are. */
    std::string loadHost;
    /** Increases with each load digest of that host; 0 if there is none. */
    std::uint64_t loadSequence = 0;
    /** Load entries of that host. */
    std::vector<LoadEntryMessage> load;
    /** That host's use of account limits. */
    std::vector<AccountUseMessage> accounts;
    /** Quarantine records. */
    std::vector<QuarantineMessage> quarantine;
    /** Backend servers that reported that they are leaving. */
    std::vector<std::string> leavingServers;
    /** The configuration revision in force at the sender. */
    std::uint64_t revision = 0;

    /** Compares all fields. */
    bool operator==(const Gossip &) const = default;
};

/** Asks a peer whether it is alive. */
struct Probe
{
    /** Identifies the probe; the reply repeats it. */
    std::uint64_t sequence = 0;
    /** The sender. */
    MemberRecord sender;
    /** Whether the sender requests the whole member table, for example when it joins. */
    bool wantsAllMembers = false;
    /** The sender's updates. */
    Gossip gossip;
};

/** Answers a Probe. */
struct ProbeReply
{
    /** The probe's sequence. */
    std::uint64_t sequence = 0;
    /** The answering member. */
    MemberRecord sender;
    /** The answering member's updates. */
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

/** Asks a peer for a newer configuration. */
struct ConfigurationPull
{
    /** Matches the reply. */
    std::uint64_t sequence = 0;
    /** The revision that the sender already has. */
    std::uint64_t knownRevision = 0;
    /** The key of the last document received, for replies in pages; empty for the first page. */
    std::string after;
};

/** Answers a ConfigurationPull. */
struct ConfigurationReply
{
    /** The request's sequence. */
    std::uint64_t sequence = 0;
    /** The revision in force at the peer; at most the known one if there is nothing newer. */
    std::uint64_t revision = 0;
    /** The changed documents, or a page of all, as JSON text; empty if there is nothing newer. */
    std::string document;
};

/** Forwards a caller's plain call to the incarnation that owns its idempotency key. */
struct ForwardCall
{
    /** Matches the reply. */
    std::uint64_t sequence = 0;
    /** The incarnation that the call is bound to; any other must refuse the call. */
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
    /** The delay before a retry, in milliseconds; 0 if not specified. */
    std::uint64_t retryAfterMilliseconds = 0;
};

/** Sends this host's load to a peer between probes; has no reply. */
struct LoadUpdate
{
    /** The sender's load, quarantine records and leaving backend servers; no members. */
    Gossip gossip;
};

/** Reads one kind of object from a peer's mirror of the platform's store. */
struct ObjectRead
{
    /** Matches the reply. */
    std::uint64_t sequence = 0;
    /** The kind of object. */
    std::string kind;
    /** Whether all objects are requested, or only changes. */
    bool wantsAll = false;
    /** The revision up to which the sender has all changes. */
    std::uint64_t since = 0;
    /** The longest time to wait for changes, in milliseconds. */
    std::uint64_t waitMilliseconds = 0;
};

/** The result of an ObjectRead. */
enum class ObjectReadResult : std::uint8_t {
    /** The reply contains the requested objects or changes. */
    Known = 0,
    /** The peer no longer has the changes since that revision; all objects must be read. */
    HistoryGone = 1,
    /** The peer does not mirror the kind, or is behind the sender. */
    Unknown = 2,
    /** The objects are too large for a reply. */
    TooLarge = 3,
};

/** One object of the platform's store, or its removal. */
struct SharedObject
{
    /** The name, unique within the kind. */
    std::string name;
    /** The store's revision of the last change of the object. */
    std::uint64_t revision = 0;
    /** The stored value, as JSON text. */
    std::string value;
    /** Whether the object was removed. */
    bool isRemoved = false;

    /** Compares all fields. */
    bool operator==(const SharedObject &) const = default;
};

/** Answers an ObjectRead. */
struct ObjectReadReply
{
    /** The request's sequence. */
    std::uint64_t sequence = 0;
    /** The result; the following fields are valid only with Known. */
    ObjectReadResult result = ObjectReadResult::Unknown;
    /** The store's revision up to which the peer has all changes. */
    std::uint64_t revision = 0;
    /** The highest revision of any object at the peer. */
    std::uint64_t newestRevision = 0;
    /** The age of the peer's data at the time of this reply, in milliseconds. */
    std::uint64_t ageMilliseconds = 0;
    /** A digest of all objects' names and revisions at the peer. */
    std::uint64_t digest = 0;
    /** The objects or changes, oldest first. */
    std::vector<SharedObject> objects;
};

/** What a backend server states about the calls that it takes from all entry hosts together. */
struct CallLimitMessage
{
    /** The server process. */
    std::string run;
    /** Whether it states a limit; false once it no longer does. */
    bool isLimited = false;
    /** The limit in calls a second. */
    double callsPerSecond = 0.0;
    /** The time since a host received the statement, in milliseconds. */
    std::uint64_t ageMilliseconds = 0;
    /** Identifies the statement on all hosts. */
    std::uint64_t id = 0;

    /** Compares all fields. */
    bool operator==(const CallLimitMessage &) const = default;
};

/** Asks the host that permits the calls to a server for a permit. */
struct CallPermitRequest
{
    /** Matches the reply. */
    std::uint64_t sequence = 0;
    /** The server process and what the sender knows of its limit. */
    CallLimitMessage limit;
    /** Whether the call continues a stream. */
    bool isUrgent = false;
};

/** Answers a CallPermitRequest. */
struct CallPermitReply
{
    /** The request's sequence. */
    std::uint64_t sequence = 0;
    /** Whether the call may be sent. */
    bool isGranted = false;
    /** How long the asking host should send the server no further call, in milliseconds. */
    std::uint64_t pauseMilliseconds = 0;
    /** What the answering host knows of the limit. */
    CallLimitMessage limit;
};

/**
 * Asks the host that gives out the places at a brittle backend server for one, reports how many the
 * sender has, or tells that a service is brittle. The reply is a CallPermitReply.
 */
struct PlacePermitRequest
{
    /** Matches the reply. */
    std::uint64_t sequence = 0;
    /** The incarnation of the sender. */
    std::string host;
    /** Increases with each ask and report of the sender. */
    std::uint64_t placeSequence = 0;
    /** The server process. */
    std::string run;
    /** The service, in an announcement. */
    std::string service;
    /** Whether the sender asks for a place. */
    bool isAsk = false;
    /** Whether the sender tells that the service is brittle. */
    bool isAnnouncement = false;
    /** How many calls the server processes at the same time. */
    std::uint32_t slots = 0;
    /** The calls of the sender that the server has. */
    std::uint32_t outstanding = 0;
    /** The lowest placeSequence of an ask whose result the sender does not know yet. */
    std::uint64_t firstPending = 0;
    /** How many rejections a second the server bears from all hosts together. */
    double rejectionLimit = 0.0;
    /** The calls of the sender that the server rejected since the last request. */
    std::uint32_t rejections = 0;

    /** Compares all fields. */
    bool operator==(const PlacePermitRequest &) const = default;
};

/** Tells a peer the call limits that the sender knows; has no reply. */
struct CallLimitUpdate
{
    /** The limits, including those that ended recently. */
    std::vector<CallLimitMessage> limits;
};

/** The software version of the servers that serve a caller's stream. */
struct RunVersionMessage
{
    /** The first half of the digest that identifies the stream. */
    std::uint64_t keyHigh = 0;
    /** The second half of the digest. */
    std::uint64_t keyLow = 0;
    /** The service. */
    std::string service;
    /** The software version. */
    std::string version;

    /** Compares all fields. */
    bool operator==(const RunVersionMessage &) const = default;
};

/** Tells a peer the software versions of streams that began at the sender. */
struct RunVersionUpdate
{
    /** Matches the reply. */
    std::uint64_t sequence = 0;
    /** The incarnation of the sender. */
    std::string sender;
    /** The streams, those recorded first at the front. */
    std::vector<RunVersionMessage> runs;
};

/** Confirms a RunVersionUpdate. */
struct RunVersionUpdateReply
{
    /** The update's sequence. */
    std::uint64_t sequence = 0;
};

/** Identifies a caller's stream in a RunVersionRequest. */
struct RunKeyMessage
{
    /** The first half of the digest that identifies the stream. */
    std::uint64_t keyHigh = 0;
    /** The second half of the digest. */
    std::uint64_t keyLow = 0;
    /** The service. */
    std::string service;

    /** Compares all fields. */
    bool operator==(const RunKeyMessage &) const = default;
};

/** Asks a peer for the software versions of streams; the peer answers from its memory. */
struct RunVersionRequest
{
    /** Matches the reply. */
    std::uint64_t sequence = 0;
    /** The streams. */
    std::vector<RunKeyMessage> runs;
};

/** What a host knows of the software version of a stream. */
enum class RunVersionResult : std::uint8_t {
    /** The host does not know the stream. */
    Unknown = 0,
    /** The version is known. */
    Known = 1,
    /** Several hosts stated different versions, or the stream belongs to another service. */
    Ambiguous = 2,
};

/** The answer on one stream. */
struct RunVersionAnswer
{
    /** The result; the version is valid only with Known. */
    RunVersionResult result = RunVersionResult::Unknown;
    /** The software version. */
    std::string version;

    /** Compares all fields. */
    bool operator==(const RunVersionAnswer &) const = default;
};

/** Answers a RunVersionRequest. */
struct RunVersionReply
{
    /** The request's sequence. */
    std::uint64_t sequence = 0;
    /** The answers, in the order of the streams in the request. */
    std::vector<RunVersionAnswer> answers;
};

/** Asks a peer whether it can reach the servers of a service. */
struct ServiceContactRequest
{
    /** Matches the reply. */
    std::uint64_t sequence = 0;
    /** The service. */
    std::string service;
};

/** Answers a ServiceContactRequest. */
struct ServiceContactReply
{
    /** The request's sequence. */
    std::uint64_t sequence = 0;
    /** Whether a server of the service accepted a connection of the answering host lately. */
    bool isReached = false;
    /** The "IP:port" at which the answering host takes relayed calls; empty if it takes none. */
    std::string relayAddress;
    /** The version of the routes in force at the answering host. */
    std::uint64_t configurationVersion = 0;
};

/**
 * Asks the host that permits the calls to a cold backend server for a permit. The reply is a
 * CallPermitReply.
 */
struct ColdPermitRequest
{
    /** Matches the reply. */
    std::uint64_t sequence = 0;
    /** The server process. */
    std::string run;
    /** How many calls a second it bears, as far as the sender knows. */
    double callsPerSecond = 0.0;
    /** How long it stays cold, as far as the sender knows, in milliseconds. */
    std::uint64_t remainingMilliseconds = 0;
    /** Whether the call continues a stream. */
    bool isUrgent = false;

    /** Compares all fields. */
    bool operator==(const ColdPermitRequest &) const = default;
};

/** How fast the sending host found an engine. */
struct SpeedMessage
{
    /** The engine. */
    std::string server;
    /** The time per token of one stream without the effect of the batch, in milliseconds. */
    double millisecondsPerToken = 0.0;
    /** How many recent measurements it is the mean of. */
    double samples = 0.0;

    /** Compares all fields. */
    bool operator==(const SpeedMessage &) const = default;
};

/** Tells a peer how fast the sending host found engines lately. */
struct SpeedUpdate
{
    /** Matches the reply. */
    std::uint64_t sequence = 0;
    /** The engines; limited in number. */
    std::vector<SpeedMessage> speeds;

    /** Compares all fields. */
    bool operator==(const SpeedUpdate &) const = default;
};

/** Confirms a SpeedUpdate. */
struct SpeedUpdateReply
{
    /** The update's sequence. */
    std::uint64_t sequence = 0;
};

/** Any message between entry hosts. */
using PeerMessage =
        std::variant<Probe, ProbeReply, IndirectProbe, IndirectProbeReply, ConfigurationPull,
                     ConfigurationReply, ForwardCall, ForwardReply, LoadUpdate, ObjectRead,
                     ObjectReadReply, CallPermitRequest, CallPermitReply, CallLimitUpdate,
                     RunVersionUpdate, RunVersionUpdateReply, RunVersionRequest, RunVersionReply,
                     ServiceContactRequest, ServiceContactReply, PlacePermitRequest,
                     ColdPermitRequest, SpeedUpdate, SpeedUpdateReply>;

} // namespace sassafrasyard
