#pragma once

#include "core/core.h"
#include "network/network.h"

#include <string>
#include <string_view>

namespace sassafrasyard {

/** How a request ended from the caller's side. */
enum class CallEnd {
    /** It has not ended. */
    Pending,
    /** A whole response was received. */
    Response,
    /** No connection could be opened. */
    NotConnected,
    /** The host had closed the connection before the request was sent. */
    ClosedBeforeSending,
    /** The host closed the connection with FIN instead of a response. */
    Closed,
    /** The connection was reset without a byte of a response. */
    Reset,
    /** The connection ended within the response. */
    Cut,
};

/** Returns the name of an end. */
std::string_view toString(CallEnd end);

/** The outcome of a request as its caller saw it. */
struct CallResult
{
    /** How it ended. */
    CallEnd end = CallEnd::Pending;
    /** The response, if there was a whole one; of a cut one, the part of the body that arrived. */
    HttpResponse response;

    /** Returns whether it is the whole answer of a backend server with the given body. */
    bool isAnswer(std::string_view body) const;

    /** Returns whether it is a 503 that says that the call has not run and when to try again. */
    bool isRefusedAsNotRun() const;

    /** Returns whether it is a refusal as not run because the host stops. */
    bool isRefusedByStop() const;

    /** Returns whether it is a 502 or 504 that says that the outcome of the call is unknown. */
    bool isOutcomeUnknown() const;

    /** Returns whether the response promises that the call has not run. */
    bool saysNotRun() const;

    /** Returns a description for a test's messages. */
    std::string describe() const;

private:
    std::string errorField(const char *name) const;
};

} // namespace sassafrasyard
