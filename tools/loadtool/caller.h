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

/** Settings that all calls of a run share. */
struct CallerContext
{
    /** The workload mix of the run. */
    WorkloadMix mix;
    /** The start of the run on the steady clock. */
    std::chrono::steady_clock::time_point start;
    /** The engine that streams are sent to without an entry host; unset to use entry hosts. */
    std::optional<Endpoint> directEngine;
};

/**
 * Makes one call as a client application does and checks the response.
 *
 * It chooses an entry host by weight, retries a refused call once after the delay that the refusal
 * names, and resumes an interrupted stream at a newly chosen host. Call either runStream() or
 * runPlainCall(), and only once.
 */
class Caller
{
public:
    /**
     * Prepares a call; the references must outlive it.
     *
     * @param apiKey the API key of the call's account.
     * @param record receives the results.
     */
    Caller(const CallerContext &context, EntryAddressCache &addresses, const PlannedCall &call,
           std::string apiKey, CallRecord &record);
    Caller(const Caller &) = delete;
    Caller &operator=(const Caller &) = delete;

    /** Opens the stream and reads it to its end, resuming it up to five times; sets the outcome. */
    boost::asio::awaitable<void> runStream();

    /** Makes a lookup or an order, with at most two attempts; sets the outcome. */
    boost::asio::awaitable<void> runPlainCall();

private:
    enum class StreamEnd { Done, Lost, Disconnected };

    boost::asio::awaitable<bool> openStream(HttpStream &stream);
    boost::asio::awaitable<StreamEnd> readStream(HttpStream &stream);
    boost::asio::awaitable<bool> resumeStream(HttpStream &stream);
    boost::asio::awaitable<std::optional<Endpoint>> chooseHost();
    boost::asio::awaitable<void> sleepFor(Milliseconds delay);
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
