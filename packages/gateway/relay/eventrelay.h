#pragma once

#include "gateway/relay/backendattempt.h"
#include "gateway/relay/eventsplitter.h"
#include "gateway/relay/gatewaydependencies.h"
#include "gateway/relay/routedcall.h"
#include "gateway/relay/runcopy.h"
#include "gateway/relay/streamplacement.h"
#include "gateway/relay/streamtakeover.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace sassafrasyard {

/**
 * Has a call run whose answer is a stream of events, and passes the events on as they come.
 *
 * Where an engine goes or is lost, the stream goes on from a copy of the run's memory on another
 * one, which is the same run; or, on a resumable route, with a new run after the last event. The
 * caller sees one response with the header of the first server.
 */
class EventRelay
{
public:
    /** Creates a relay for one call. @param responder answers the caller. */
    EventRelay(GatewayDependencies &dependencies, RoutedCall &call, HttpResponder &responder);
    EventRelay(const EventRelay &) = delete;
    EventRelay &operator=(const EventRelay &) = delete;

    /** Runs until the stream or the call has ended. */
    boost::asio::awaitable<void> run();

private:
    /** How the reading of a stream ended. */
    enum class ReadEnd {
        Complete,
        Lost,
        Deadline,
        CallerGone,
    };

    boost::asio::awaitable<bool> placeNewRun();
    boost::asio::awaitable<AttemptResult> startPart();
    boost::asio::awaitable<ReadEnd> forwardStream();
    boost::asio::awaitable<bool> forwardEvents();
    boost::asio::awaitable<bool> forwardRemainder();
    boost::asio::awaitable<bool> sendHeader(const HttpResponse &response);
    boost::asio::awaitable<void> forwardAnswer(HttpResponse response);
    boost::asio::awaitable<bool> findNextPart(const AttemptResult &result, bool wasStream);
    boost::asio::awaitable<void> complete();
    boost::asio::awaitable<void> end();

    ForwardingOrder makeOrder(const StreamPlacement &at, Milliseconds now) const;
    WorkRequest makeCopyRequest(std::string_view purpose);
    boost::asio::awaitable<void> reserveBackup(const StreamPlacement &source);
    bool needsCopy() const;
    bool isBackupUsable() const;
    void dropBackup();
    void dropRefreshedCopy();
    boost::asio::awaitable<void> dropTakeover();
    bool continueFromBackup();
    std::optional<StreamPlacement> takeBackup();
    boost::asio::awaitable<bool> continueFromRefreshedCopy();
    void continueAt(StreamPlacement next);
    void ensureCopy(Milliseconds now);
    boost::asio::awaitable<void> prepareTakeover(Milliseconds now);
    boost::asio::awaitable<void> startTakeover(StreamPlacement next, Milliseconds now);
    boost::asio::awaitable<bool> switchToTakeover();
    void startRefreshedCopy(bool isUrgent, Milliseconds now);
    void interruptRead();

    void recordPause(Milliseconds now);
    void logEnd(std::string_view outcome) const;
    void reportProgress(Milliseconds now);
    void reportPartEnd(WorkOutcome outcome);
    std::optional<Milliseconds> silenceTimeout() const;
    Milliseconds headerTimeout(Milliseconds now) const;
    Milliseconds pauseTimeout(Milliseconds now) const;
    bool mayStartNewRun(AttemptOutcome outcome, int status);
    const EngineProperties *engine() const;

    GatewayDependencies &dependencies;
    RoutedCall &call;
    HttpResponder &responder;
    AttemptHistory history;
    std::vector<BackendServerName> avoided;
    StreamPlacement placement;
    std::unique_ptr<BackendAttempt> attempt;
    /** Where the run's memory is copied as it grows. */
    std::optional<StreamPlacement> backup;
    /** The start of the run's continuation at its copy, while its engine is about to go. */
    std::shared_ptr<StreamTakeover> takeover;
    /** A copy that is brought up to date at intervals, where none grows with the run. */
    std::shared_ptr<RunCopy> refreshedCopy;
    EventSplitter splitter;
    std::optional<std::uint64_t> lastEvent;
    std::uint32_t eventCount = 0;
    std::uint32_t reportedEvents = 0;
    Milliseconds reportedAt{0};
    Milliseconds copyAttemptedAt{0};
    std::optional<Milliseconds> partFirstEventAt;
    /** When the part began or its last whole event came; bytes without an event don't count. */
    Milliseconds silentSince{0};
    /** When the last event was passed on, and the longest pause so far with what ended it. */
    std::optional<Milliseconds> eventAt;
    /** From the call's arrival until it was first placed, and until its first event. */
    Milliseconds placedAfter{0};
    Milliseconds firstEventAfter{0};
    Milliseconds longestPause{0};
    std::uint64_t longestPauseBefore = 0;
    bool isLongestPauseAtSwitch = false;
    bool hasStarted = false;
    std::uint32_t partCount = 0;
    std::uint32_t copyCount = 0;
    Error failure;
};

} // namespace sassafrasyard
