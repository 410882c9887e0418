#pragma once

#include "gateway/relay/backendattempt.h"
#include "gateway/relay/eventsplitter.h"
#include "gateway/relay/gatewayservices.h"
#include "gateway/relay/routedcall.h"
#include "gateway/relay/runcopy.h"
#include "gateway/relay/streamplace.h"
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
    EventRelay(GatewayServices &services, RoutedCall &call, HttpResponder &responder);
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

    boost::asio::awaitable<bool> placeAnew();
    boost::asio::awaitable<AttemptResult> startPart();
    boost::asio::awaitable<ReadEnd> passOn();
    boost::asio::awaitable<bool> passOnEvents();
    boost::asio::awaitable<bool> passOnRemainder();
    boost::asio::awaitable<bool> sendHeader(const HttpResponse &response);
    boost::asio::awaitable<void> passOnAnswer(HttpResponse response);
    boost::asio::awaitable<bool> findNextPart(const AttemptResult &result, bool wasStream);
    boost::asio::awaitable<void> complete();
    boost::asio::awaitable<void> end();

    ForwardingOrder makeOrder(const StreamPlace &at, Milliseconds now) const;
    WorkRequest copyWork(std::string_view purpose);
    boost::asio::awaitable<void> reserveCopy(const StreamPlace &of);
    bool needsCopy() const;
    bool isCopyUsable() const;
    void dropCopy();
    void dropKeptCopy();
    boost::asio::awaitable<void> dropTakeover();
    bool goOnAtCopy();
    std::optional<StreamPlace> takeCopy();
    boost::asio::awaitable<bool> goOnAtKeptCopy();
    void goOnAt(StreamPlace next);
    void protect(Milliseconds now);
    boost::asio::awaitable<void> prepareToLeave(Milliseconds now);
    boost::asio::awaitable<void> startTakeover(StreamPlace next, Milliseconds now);
    boost::asio::awaitable<bool> switchToTakeover();
    void startKeptCopy(bool isUrgent, Milliseconds now);
    void wakeUp();

    void recordPause(Milliseconds now);
    void logEnd(std::string_view outcome) const;
    void reportProgress(Milliseconds now);
    void reportPartEnd(WorkOutcome outcome);
    std::optional<Milliseconds> longestSilence() const;
    Milliseconds headerTimeout(Milliseconds now) const;
    Milliseconds pauseTimeout(Milliseconds now) const;
    bool mayGoOn(AttemptOutcome outcome, int status);
    const EngineProperties *engine() const;

    GatewayServices &services;
    RoutedCall &call;
    HttpResponder &responder;
    AttemptHistory history;
    std::vector<BackendServerName> avoided;
    StreamPlace place;
    std::unique_ptr<BackendAttempt> attempt;
    /** Where the run's memory is copied as it grows. */
    std::optional<StreamPlace> copy;
    /** The start of the run's continuation at its copy, while its engine is about to go. */
    std::shared_ptr<StreamTakeover> takeover;
    /** A copy that is brought up to date at intervals, where none grows with the run. */
    std::shared_ptr<RunCopy> keptCopy;
    EventSplitter splitter;
    std::optional<std::uint64_t> lastEvent;
    std::uint32_t eventCount = 0;
    std::uint32_t reportedEvents = 0;
    Milliseconds reportedAt{0};
    Milliseconds protectedAt{0};
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
    bool isPauseAtSwitch = false;
    bool hasStarted = false;
    std::uint32_t partCount = 0;
    std::uint32_t copyCount = 0;
    Error failure;
};

} // namespace sassafrasyard
