#pragma once

#include "gateway/relay/backendattempt.h"
#include "gateway/relay/eventsplitter.h"
#include "gateway/relay/gatewayservices.h"
#include "gateway/relay/memorymove.h"
#include "gateway/relay/routedcall.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
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
    /** How one server's part of the stream ended. */
    enum class PartEnd {
        Complete,
        Lost,
        Deadline,
        CallerGone,
    };

    boost::asio::awaitable<bool> placeAnew();
    bool takeCopy();
    boost::asio::awaitable<void> reserveCopy();
    void dropCopy();
    void dropMove();
    boost::asio::awaitable<AttemptResult> startPart(BackendAttempt &attempt);
    boost::asio::awaitable<PartEnd> passOn(BackendAttempt &attempt);
    boost::asio::awaitable<bool> passOnEvents();
    boost::asio::awaitable<bool> sendHeader(const HttpResponse &response);
    boost::asio::awaitable<void> passOnAnswer(BackendAttempt &attempt, HttpResponse response);
    boost::asio::awaitable<void> end();
    boost::asio::awaitable<bool> takeMovedRun();
    void goOnAt(StreamPlace next);
    void leaveServer(BackendAttempt &attempt);
    void startMove();
    void reportProgress(Milliseconds now);
    void reportPartEnd(WorkOutcome outcome);
    Milliseconds headerTimeout(Milliseconds now) const;
    Milliseconds pauseTimeout(Milliseconds now) const;
    bool mayGoOn(AttemptOutcome outcome, int status);
    bool canSwitch(Milliseconds now) const;

    GatewayServices &services;
    RoutedCall &call;
    HttpResponder &responder;
    AttemptHistory history;
    std::vector<BackendServerName> avoided;
    StreamPlace place;
    /** Where the run's memory is copied as it grows. */
    std::optional<StreamPlace> copy;
    /** The move of the run, once its server is about to go and there is no copy. */
    std::shared_ptr<MemoryMove> move;
    EventSplitter splitter;
    std::optional<std::uint64_t> lastEvent;
    std::uint32_t eventCount = 0;
    std::uint32_t reportedEvents = 0;
    Milliseconds reportedAt{0};
    std::optional<Milliseconds> partFirstEventAt;
    bool isServerLeaving = false;
    bool hasStarted = false;
    std::uint32_t partCount = 0;
    Error failure;
};

} // namespace sassafrasyard
