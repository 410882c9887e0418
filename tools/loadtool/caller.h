#pragma once

#include "callplan.h"
#include "callrecord.h"
#include "entryaddresscache.h"
#include "network/network.h"
#include "tokenevent.h"

#include <boost/asio/awaitable.hpp>

#include <optional>
#include <string>

namespace sassafrasyard {

/** What all calls of a run share. */
struct CallerContext
{
    /** The user's mix. */
    WorkloadMix mix;
    /** The start of the run on the steady clock. */
    std::chrono::steady_clock::time_point start;
    /** If set, streams go straight to this engine. */
    std::optional<Endpoint> directEngine;
};

/**
 * Makes one call as a user's client does: chooses an entry host by weight, tries once more after a
 * refusal when its retry delay has passed, resumes a cut stream at another host, and checks what it
 * receives. Call only one of its functions, once.
 */
class Caller
{
public:
    /** Creates a call. @param record receives what is observed. */
    Caller(const CallerContext &context, EntryAddressCache &addresses, const PlannedCall &call,
           std::string apiKey, CallRecord &record);
    Caller(const Caller &) = delete;
    Caller &operator=(const Caller &) = delete;

    /** Runs a stream to its end. */
    boost::asio::awaitable<void> runStream();

    /** Runs a plain call. */
    boost::asio::awaitable<void> runPlainCall();

private:
    enum class StreamEnd { Done, Lost, Disconnected };

    boost::asio::awaitable<bool> openStream(HttpStream &stream);
    boost::asio::awaitable<StreamEnd> readStream(HttpStream &stream);
    boost::asio::awaitable<bool> resumeStream(HttpStream &stream);
    boost::asio::awaitable<std::optional<Endpoint>> chooseHost();
    boost::asio::awaitable<void> pause(Milliseconds delay);
    std::optional<Milliseconds> recordRefusal(const HttpResponse &response,
                                              std::chrono::steady_clock::time_point begin);
    void recordEvent(const ServerEvent &event, StreamEnd &end);
    void recordToken(const TokenEvent &token);
    void recordTransportTimes(const TokenEvent &token, std::chrono::steady_clock::time_point now);
    void recordAnswer(const HttpResponse &response);
    HttpRequest streamRequest() const;
    HttpRequest plainRequest() const;
    float millisecondsSinceArrival(std::chrono::steady_clock::time_point now) const;

    const CallerContext &context;
    EntryAddressCache &addresses;
    const PlannedCall &call;
    std::string apiKey;
    CallRecord &record;
    std::string lastEventIdentifier;
    std::chrono::steady_clock::time_point arrivedAt;
    std::chrono::steady_clock::time_point openedAt{};
    std::chrono::steady_clock::time_point lastTokenAt{};
};

} // namespace sassafrasyard
