#pragma once

#include "gateway/relay/backendattempt.h"
#include "gateway/relay/eventsplitter.h"
#include "gateway/relay/gatewaydependencies.h"
#include "gateway/relay/routedcall.h"
#include "gateway/relay/runcopy.h"
#include "gateway/relay/runstops.h"
#include "gateway/relay/silencewatch.h"
#include "gateway/relay/streamending.h"
#include "gateway/relay/streamplacement.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sassafrasyard {

/**
 * Forwards a call whose response is a stream of events, event by event.
 *
 * If an engine leaves, falls silent or is lost, the run continues from a copy of its memory on
 * another engine once it has ended on the former one; see RunStop. On a resumable route a new run
 * may continue after the last event instead. The caller sees one response with the header of the
 * first server. A part is the section of the stream that one server produces.
 */
class EventRelay
{
public:
    /** Creates a relay for one call. @param responder sends the response to the caller. */
    EventRelay(GatewayDependencies &dependencies, RoutedCall &call, HttpResponder &responder);
    /** Releases what is reserved for a continuation. */
    ~EventRelay();
    EventRelay(const EventRelay &) = delete;
    EventRelay &operator=(const EventRelay &) = delete;

    /** Runs until the stream or the call has ended. */
    boost::asio::awaitable<void> run();

private:
    /** Why forwarding a part of the stream ended. */
    enum class ReadEnd {
        Complete,
        Lost,
        /** Another engine has taken the stream from a silent one. */
        Replaced,
        Deadline,
        CallerGone,
    };

    /** The next part, if another engine began its response while the current one was silent. */
    struct Replacement
    {
        StreamPlacement placement;
        std::unique_ptr<BackendAttempt> attempt;
        AttemptResult result;
    };

    /** The last part with events, if nothing shows whether its regular end is that of its run. */
    struct DoubtfulEnd
    {
        std::uint32_t part = 0;
        StreamPlacement placement;
        ServerProcess process;
        ProcessState processState = ProcessState::Unasked;
        /** Whether the engine was asked once more for its run. */
        bool isAsked = false;
    };

    boost::asio::awaitable<bool> bindToVersion();
    boost::asio::awaitable<std::optional<SoftwareVersion>> findVersion();
    boost::asio::awaitable<bool> placeNewRun();
    boost::asio::awaitable<std::optional<StreamPlacement>> placeRun(std::string name,
                                                                    Error &refusal);
    void beginPart(Milliseconds now);
    boost::asio::awaitable<AttemptResult> startPart();
    boost::asio::awaitable<ReadEnd> forwardPart();
    boost::asio::awaitable<ReadEnd> forwardStream();
    boost::asio::awaitable<bool> forwardEvents();
    boost::asio::awaitable<ReadEnd> finishBody();
    boost::asio::awaitable<BodyEnd> findBodyEnd();
    boost::asio::awaitable<ProcessState> checkProcess(ServerProcess process);
    bool endsInsideEvent() const;
    bool isEventStream() const;
    bool isUnframedEventStream() const;
    boost::asio::awaitable<bool> forwardRemainder();
    bool isPartOfStream(const HttpResponse &response);
    boost::asio::awaitable<bool> sendHeader(const HttpResponse &response);
    boost::asio::awaitable<void> forwardAnswer(HttpResponse response);
    boost::asio::awaitable<bool> findNextPart(const AttemptResult &result, bool wasStream);
    boost::asio::awaitable<bool> isEndShown();
    boost::asio::awaitable<bool> continueDoubtfulEnd(bool hasRun);
    boost::asio::awaitable<void> complete();
    boost::asio::awaitable<void> finishStream();
    boost::asio::awaitable<void> end();

    ForwardingOrder makeOrder(const StreamPlacement &at, Milliseconds now) const;
    WorkRequest makeCopyRequest(std::string_view purpose);
    boost::asio::awaitable<void> reserveBackup(const StreamPlacement &source);
    bool needsCopy() const;
    bool isBackupUsable() const;
    bool isUsable(const StreamPlacement &copy) const;
    void recordVersion(Milliseconds now);
    void refuseContinuation(std::string_view version, std::string detail);
    void dropBackup();
    void dropRefreshedCopy();
    void dropDeclinedCopy();
    void dropCopies();
    boost::asio::awaitable<bool> continueFromCopy(bool hasRun);
    bool continueFromBackup();
    bool continueFromDeclinedCopy();
    std::optional<StreamPlacement> takeBackup();
    std::optional<StreamPlacement> takeDeclinedCopy();
    boost::asio::awaitable<bool> continueFromRefreshedCopy();
    void continueAt(StreamPlacement next);
    void logContinuation() const;
    void ensureCopy(Milliseconds now);
    void moveFromLeavingEngine(Milliseconds now);
    void startRefreshedCopy(bool isUrgent, Milliseconds now);

    boost::asio::awaitable<bool> ensureRunEnded();
    bool canAskEngine() const;
    void startStop(const StreamPlacement &source, bool isAskedOnce);
    void stopSilentRun();
    bool mayReplaceSilentRun() const;
    boost::asio::awaitable<bool> replaceSilentRun();
    boost::asio::awaitable<bool> tryReplacement();
    void logReplacement(const BackendServerName &other, std::string_view outcome) const;
    void watchSilentEngine();
    void readSilentEngine();
    void endReplacement();
    AttemptResult beginReplacement();
    void onStopEnd(RunStop::Result result);
    StopEffect stopEffect() const;
    std::optional<BodyFraming> framing() const;
    void watchSilence();
    void watchFirstEvent();

    void recordLoss(Milliseconds now);
    void recordCut() const;
    StreamCutDecision deadlineDecision() const;
    void recordPause(Milliseconds now);
    void logEnd(std::string_view outcome) const;
    void reportProgress(Milliseconds now);
    void reportPartEnd(WorkOutcome outcome);
    std::optional<Milliseconds> restartTimeout() const;
    std::optional<Milliseconds> firstEventTimeout() const;
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
    /** The target to which the engine copies the run's memory as it grows. */
    std::optional<StreamPlacement> backup;
    /** The requests to stop the runs of the parts. */
    RunStops stops;
    /** What is known of the engine's process after the current part was closed. */
    ProcessState processState = ProcessState::Unasked;
    /** Set until another part of the stream begins. */
    std::optional<DoubtfulEnd> doubtfulEnd;
    /** Whether the stream is complete although its end was doubtful. */
    bool isEndConfirmed = false;
    SilenceWatch silenceWatch;
    /** Whether the read was interrupted, because another engine shall take the stream. */
    bool isReplacementDue = false;
    /** The attempt at another engine while the current one is silent. */
    BackendAttempt *replacementAttempt = nullptr;
    /** Whether the current engine has sent no event since another one was sought. */
    bool isEngineSilent = false;
    std::optional<Replacement> replacement;
    /** A copy that is refreshed at intervals, if there is no backup. */
    std::shared_ptr<RunCopy> refreshedCopy;
    std::shared_ptr<CopyRequests> copyRequests = std::make_shared<CopyRequests>();
    /** The complete copy that a declined request to stop the run named. */
    std::optional<StreamPlacement> declinedCopy;
    EventSplitter splitter;
    std::optional<std::uint64_t> lastEvent;
    std::uint32_t eventCount = 0;
    std::uint32_t reportedEvents = 0;
    Milliseconds reportedAt{0};
    Milliseconds copyAttemptedAt{0};
    std::optional<Milliseconds> stopDeclinedAt;
    Milliseconds versionRecordedAt{0};
    std::optional<Milliseconds> partFirstEventAt;
    Milliseconds partStartedAt{0};
    /** When the last event was forwarded. */
    std::optional<Milliseconds> eventAt;
    /** From the arrival of the call until its first placement and until its first event. */
    Milliseconds placedAfter{0};
    Milliseconds firstEventAfter{0};
    Milliseconds longestPause{0};
    std::uint64_t longestPauseBefore = 0;
    bool isLongestPauseAtSwitch = false;
    bool hasStarted = false;
    /** The media type of the response that the caller gets. */
    std::string streamMediaType;
    std::uint32_t copyCount = 0;
    Error failure;
    /** What ends the stream, if it ends before its last event. */
    StreamCutDecision cutDecision = StreamCutDecision::NoContinuation;
    /** The loss of the last run that produced events. */
    std::optional<RunLoss> loss;
};

} // namespace sassafrasyard
