#include "observability/logging/logevent.h"

#include <array>

namespace sassafrasyard {

namespace {

constexpr std::array catalogue = {
        LogEventEntry{LogEvent::DaemonStarted, LogLevel::Info, "daemon_started"},
        LogEventEntry{LogEvent::DaemonDraining, LogLevel::Info, "daemon_draining"},
        LogEventEntry{LogEvent::DaemonStopped, LogLevel::Info, "daemon_stopped"},
        LogEventEntry{LogEvent::SettingsInvalid, LogLevel::Error, "settings_invalid"},
        LogEventEntry{LogEvent::ListenFailed, LogLevel::Error, "listen_failed"},
        LogEventEntry{LogEvent::SettingsReloaded, LogLevel::Info, "settings_reloaded"},
        LogEventEntry{LogEvent::SettingsKept, LogLevel::Warning, "settings_kept"},
        LogEventEntry{LogEvent::UnexpectedError, LogLevel::Error, "unexpected_error"},
        LogEventEntry{LogEvent::ReloadRequested, LogLevel::Info, "reload_requested"},
        LogEventEntry{LogEvent::HostLate, LogLevel::Info, "host_late"},
        LogEventEntry{LogEvent::MemberAlive, LogLevel::Info, "member_alive"},
        LogEventEntry{LogEvent::MemberSuspect, LogLevel::Warning, "member_suspect"},
        LogEventEntry{LogEvent::MemberLeaving, LogLevel::Info, "member_leaving"},
        LogEventEntry{LogEvent::MemberDead, LogLevel::Warning, "member_dead"},
        LogEventEntry{LogEvent::PeerMessageInvalid, LogLevel::Warning, "peer_message_invalid"},
        LogEventEntry{LogEvent::ConfigurationApplied, LogLevel::Info, "configuration_applied"},
        LogEventEntry{LogEvent::ConfigurationRejected, LogLevel::Warning, "configuration_rejected"},
        LogEventEntry{LogEvent::ConfigurationUnavailable, LogLevel::Warning,
                      "configuration_unavailable"},
        LogEventEntry{LogEvent::ConfigurationAccepted, LogLevel::Info, "configuration_accepted"},
        LogEventEntry{LogEvent::RequestRefused, LogLevel::Debug, "request_refused"},
        LogEventEntry{LogEvent::RequestRetried, LogLevel::Info, "request_retried"},
        LogEventEntry{LogEvent::StreamResumed, LogLevel::Info, "stream_resumed"},
        LogEventEntry{LogEvent::GenerationLost, LogLevel::Warning, "generation_lost"},
        LogEventEntry{LogEvent::CrossedAnswerDropped, LogLevel::Warning, "crossed_answer_dropped"},
        LogEventEntry{LogEvent::GenerationCancelled, LogLevel::Info, "generation_cancelled"},
        LogEventEntry{LogEvent::BackendServerLost, LogLevel::Warning, "backend_server_lost"},
        LogEventEntry{LogEvent::BackendServerLeaving, LogLevel::Info, "backend_server_leaving"},
        LogEventEntry{LogEvent::BackendServerSlow, LogLevel::Warning, "backend_server_slow"},
        LogEventEntry{LogEvent::BackendServerReadmitted, LogLevel::Info,
                      "backend_server_readmitted"},
        LogEventEntry{LogEvent::RequestQuarantined, LogLevel::Warning, "request_quarantined"},
        LogEventEntry{LogEvent::BackendServerPaused, LogLevel::Info, "backend_server_paused"},
        LogEventEntry{LogEvent::ServerLimitStated, LogLevel::Info, "server_limit_stated"},
        LogEventEntry{LogEvent::LimitedServerCalls, LogLevel::Info, "limited_server_calls"},
        LogEventEntry{LogEvent::PermitUnavailable, LogLevel::Info, "permit_unavailable"},
        LogEventEntry{LogEvent::PromptPartQuarantined, LogLevel::Warning,
                      "prompt_part_quarantined"},
        LogEventEntry{LogEvent::ServerCold, LogLevel::Info, "server_cold"},
        LogEventEntry{LogEvent::DuplicateCallPrevented, LogLevel::Info, "duplicate_call_prevented"},
        LogEventEntry{LogEvent::CallOutcomeUnknown, LogLevel::Warning, "call_outcome_unknown"},
        LogEventEntry{LogEvent::CallForwarded, LogLevel::Debug, "call_forwarded"},
        LogEventEntry{LogEvent::LeaseAcquired, LogLevel::Info, "lease_acquired"},
        LogEventEntry{LogEvent::LeaseLost, LogLevel::Warning, "lease_lost"},
        LogEventEntry{LogEvent::OrderSent, LogLevel::Info, "order_sent"},
        LogEventEntry{LogEvent::OrderRefused, LogLevel::Warning, "order_refused"},
        LogEventEntry{LogEvent::RolloutAdvanced, LogLevel::Info, "rollout_advanced"},
        LogEventEntry{LogEvent::RolloutStopped, LogLevel::Warning, "rollout_stopped"},
        LogEventEntry{LogEvent::StoreLost, LogLevel::Warning, "store_lost"},
        LogEventEntry{LogEvent::StoreRegained, LogLevel::Info, "store_regained"},
        LogEventEntry{LogEvent::StoreHistoryGone, LogLevel::Info, "store_history_gone"},
        LogEventEntry{LogEvent::ObjectUnreadable, LogLevel::Warning, "object_unreadable"},
        LogEventEntry{LogEvent::RoutesApplied, LogLevel::Info, "routes_applied"},
        LogEventEntry{LogEvent::ReadinessChanged, LogLevel::Info, "readiness_changed"},
        LogEventEntry{LogEvent::ServerLeaving, LogLevel::Info, "server_leaving"},
        LogEventEntry{LogEvent::StoreChangeMissed, LogLevel::Warning, "store_change_missed"},
        LogEventEntry{LogEvent::StoreReaderSkipped, LogLevel::Info, "store_reader_skipped"},
        LogEventEntry{LogEvent::CallRefused, LogLevel::Info, "call_refused"},
        LogEventEntry{LogEvent::CallAnswered, LogLevel::Info, "call_answered"},
        LogEventEntry{LogEvent::AttemptFailed, LogLevel::Info, "attempt_failed"},
        LogEventEntry{LogEvent::StreamContinued, LogLevel::Info, "stream_continued"},
        LogEventEntry{LogEvent::StreamCut, LogLevel::Warning, "stream_cut"},
        LogEventEntry{LogEvent::MoveFailed, LogLevel::Info, "move_failed"},
        LogEventEntry{LogEvent::ServerFieldUnreadable, LogLevel::Warning,
                      "server_field_unreadable"},
        LogEventEntry{LogEvent::ServerCrashChecked, LogLevel::Info, "server_crash_checked"},
        LogEventEntry{LogEvent::RefusedRequestsUnavailable, LogLevel::Warning,
                      "refused_requests_unavailable"},
        LogEventEntry{LogEvent::StoreRestored, LogLevel::Warning, "store_restored"},
        LogEventEntry{LogEvent::CallCutAtStop, LogLevel::Warning, "call_cut_at_stop"},
        LogEventEntry{LogEvent::ResumptionRefused, LogLevel::Warning, "resumption_refused"},
        LogEventEntry{LogEvent::VersionHistoryUnavailable, LogLevel::Warning,
                      "version_history_unavailable"},
        LogEventEntry{LogEvent::RunVersionsUntold, LogLevel::Info, "run_versions_untold"},
        LogEventEntry{LogEvent::RunStopEnded, LogLevel::Info, "run_stop_ended"},
        LogEventEntry{LogEvent::ServiceUnreached, LogLevel::Warning, "service_unreached"},
        LogEventEntry{LogEvent::ServiceReached, LogLevel::Info, "service_reached"},
        LogEventEntry{LogEvent::CallRelayed, LogLevel::Info, "call_relayed"},
        LogEventEntry{LogEvent::RelayPeersFound, LogLevel::Info, "relay_peers_found"},
        LogEventEntry{LogEvent::RelayUnavailable, LogLevel::Warning, "relay_unavailable"},
        LogEventEntry{LogEvent::BrittleServiceStated, LogLevel::Info, "brittle_service_stated"},
        LogEventEntry{LogEvent::BrokenEndFound, LogLevel::Info, "broken_end_found"},
        LogEventEntry{LogEvent::DomainEvacuated, LogLevel::Warning, "domain_evacuated"},
        LogEventEntry{LogEvent::DomainReturned, LogLevel::Info, "domain_returned"},
        LogEventEntry{LogEvent::StreamPaused, LogLevel::Info, "stream_paused"},
        LogEventEntry{LogEvent::SilentStreamTried, LogLevel::Info, "silent_stream_tried"},
        LogEventEntry{LogEvent::RunEndConfirmed, LogLevel::Info, "run_end_confirmed"},
};

} // namespace

std::span<const LogEventEntry> logEventCatalogue()
{
    return catalogue;
}

const LogEventEntry &logEventEntry(LogEvent event)
{
    for (const LogEventEntry &entry : catalogue) {
        if (entry.event == event)
            return entry;
    }
    return catalogue.front();
}

} // namespace sassafrasyard
