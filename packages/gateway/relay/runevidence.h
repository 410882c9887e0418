#pragma once

#include "core/core.h"
#include "gateway/relay/processchecks.h"
#include "gateway/relay/stoprecord.h"
#include "network/network.h"

#include <string_view>

namespace sassafrasyard {

/** What may show that an engine does not work on a run any more. */
enum class RunEvidence {
    /** The engine answered that it has stopped the run. */
    EngineStopped,
    /** The engine answered that it has no such run; it may have preempted the run and go on. */
    EngineHasNoRun,
    /** The engine answered anything else. */
    EngineAnswered,
    /** The entry of the engine is that of another process. */
    EntryReplaced,
    /** The engine's address refused a new connection. */
    ConnectionRefused,
    /** A new connection was neither accepted nor refused in time. */
    ConnectionUnanswered,
    /** A request was sent, but its answer did not arrive, and the engine has no entry. */
    AnswerLostEntryMissing,
    /** A request was sent, but its answer did not arrive. */
    AnswerLost,
    /** This host reached no server of the service, and a peer reached one. */
    HostCutOff,
};

/** Returns the name of evidence in logs. */
std::string_view toString(RunEvidence evidence);

/** The state of the connection on which the events of a run arrive. */
enum class RunConnection {
    /** It is open, also if nothing arrives. */
    Open,
    /** It was closed or reset, or probes on it were not answered; see HttpConnection. */
    Closed,
};

/** Returns the name of a state in logs. */
std::string_view toString(RunConnection connection);

/**
 * Returns whether evidence shows that a run has ended at its engine.
 *
 * The operating system of an engine closes the connections of a process that ends. So while the
 * run's own connection is open, the lack of new connections or of answers shows nothing: a leaving
 * engine closes its listener first, and a full or suspended one accepts no connection for a time.
 * The entry is no evidence either then: it may be missing for a time, return, or be another's. An
 * engine whose machine is gone does not answer the probes on that connection.
 *
 * A host that is cut off from all servers loses its connections and gets no answers although the
 * engines work on, so what it sees then shows nothing either.
 *
 * @param unansweredFor since when the engine has not answered, including the present evidence.
 */
bool showsRunEnd(RunEvidence evidence, RunConnection connection, Milliseconds unansweredFor);

/** What the regular end of the body shows of the stream that an engine sent. */
enum class BodyEnd {
    /** The run came to its end. */
    Complete,
    /** The run was stopped, or may have been by a request whose answer was lost. */
    Broken,
    /** Nothing shows that the run came to its end, or that it did not. */
    Doubtful,
    /** An outstanding answer of the engine will show it. */
    AwaitsAnswer,
    /** Whether the engine's process still lives will show it. */
    AwaitsProcess,
};

/**
 * Returns what the regular end of a body shows.
 *
 * An engine that is asked to stop a run closes its stream without its end, and the operating system
 * of a process that ends closes its connections in order. A length or the last chunk would be
 * missing then, but without them a stream that was broken off after a whole event ends like one
 * that is complete. So without framing the end needs evidence: no request of this host can have
 * stopped the run, and the process that wrote the stream has outlived it, such as to answer that it
 * has no such run. That an engine declined a
 * request is none, because it may have been busy with another one that stops the run.
 *
 * @param effect what the requests to stop the run may have done.
 * @param process what is known of the process of the engine.
 */
BodyEnd bodyEndOf(BodyFraming framing, StopEffect effect, ProcessState process);

} // namespace sassafrasyard
