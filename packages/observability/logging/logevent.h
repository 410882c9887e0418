#pragma once

#include <span>
#include <string_view>

namespace sassafrasyard {

/** The severity of a log event. */
enum class LogLevel {
    Debug,
    Info,
    Warning,
    Error,
};

/** All log events with their stable numbers; docs/events.md describes each one. */
enum class LogEvent : int {
    DaemonStarted = 1001,
    DaemonDraining = 1002,
    DaemonStopped = 1003,
    SettingsInvalid = 1004,
    ListenFailed = 1005,
    SettingsReloaded = 1006,
    SettingsKept = 1007,
    UnexpectedError = 1008,
    ReloadRequested = 1009,
    HostLate = 1010,
    MemberAlive = 2001,
    MemberSuspect = 2002,
    MemberLeaving = 2003,
    MemberDead = 2004,
    PeerMessageInvalid = 2005,
    ConfigurationApplied = 3001,
    ConfigurationRejected = 3002,
    ConfigurationUnavailable = 3003,
    ConfigurationAccepted = 3004,
    RequestRefused = 4001,
    RequestRetried = 4002,
    StreamResumed = 4003,
    GenerationLost = 4004,
    CrossedAnswerDropped = 4005,
    GenerationCancelled = 4006,
    BackendServerLost = 5001,
    BackendServerLeaving = 5002,
    BackendServerSlow = 5003,
    BackendServerReadmitted = 5004,
    RequestQuarantined = 5005,
    BackendServerPaused = 5006,
    ServerLimitStated = 5007,
    LimitedServerCalls = 5008,
    PermitUnavailable = 5009,
    PromptPartQuarantined = 5010,
    ServerCold = 5011,
    DuplicateCallPrevented = 6001,
    CallOutcomeUnknown = 6002,
    CallForwarded = 6003,
    LeaseAcquired = 7001,
    LeaseLost = 7002,
    OrderSent = 7003,
    OrderRefused = 7004,
    RolloutAdvanced = 7005,
    RolloutStopped = 7006,
    StoreLost = 8001,
    StoreRegained = 8002,
    StoreHistoryGone = 8003,
    ObjectUnreadable = 8004,
    RoutesApplied = 8005,
    ReadinessChanged = 8006,
    ServerLeaving = 8007,
    StoreChangeMissed = 8008,
    StoreReaderSkipped = 8009,
    CallRefused = 8010,
    CallAnswered = 8011,
    AttemptFailed = 8012,
    StreamContinued = 8013,
    StreamCut = 8014,
    MoveFailed = 8015,
    ServerFieldUnreadable = 8016,
    ServerCrashChecked = 8017,
    RefusedRequestsUnavailable = 8018,
    StoreRestored = 8019,
    CallCutAtStop = 8020,
    ResumptionRefused = 8021,
    VersionHistoryUnavailable = 8022,
    RunVersionsUntold = 8023,
    RunStopEnded = 8024,
    ServiceUnreached = 8025,
    ServiceReached = 8026,
    CallRelayed = 8027,
    RelayPeersFound = 8028,
    RelayUnavailable = 8029,
    BrittleServiceStated = 8030,
    BrokenEndFound = 8031,
    DomainEvacuated = 8032,
    DomainReturned = 8033,
    StreamPaused = 8034,
    SilentStreamTried = 8035,
    RunEndConfirmed = 8036,
};

/** An entry of the event catalogue. */
struct LogEventEntry
{
    /** The event. */
    LogEvent event;
    /** The level at which the event is logged. */
    LogLevel level;
    /** The value of the log line's "name" field. */
    std::string_view name;
};

/** Returns the catalogue of all events, ordered by number. */
std::span<const LogEventEntry> logEventCatalogue();

/** Returns the catalogue entry of an event; the first entry for an unknown one. */
const LogEventEntry &logEventEntry(LogEvent event);

} // namespace sassafrasyard
