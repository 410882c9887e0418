#pragma once

#include "core/core.h"
#include "network/network.h"
#include "policy/work/workrequest.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace sassafrasyard {

/** The decoded header of a caller's request. */
struct CallMetadata
{
    /** The identifier of the call; a repeat by the caller has a new one. */
    std::string requestId;
    /** How long the caller waits from the time it sent the call, in milliseconds. */
    std::optional<Milliseconds> callerTimeout;
    /** The bearer key; empty if there is none. */
    std::string key;
    /** The size of the prompt in tokens. */
    std::uint32_t promptTokens = 0;
    /** The limit on the output in tokens; 0 for none. */
    std::uint32_t maximumTokens = 0;
    /** A digest of the leading part of the prompt that it shares with other calls; 0 for none. */
    std::uint64_t prefixDigest = 0;
    /** The beginnings of the prompt that end with a shared part, shortest first. */
    std::vector<PromptPrefix> prefixes;
    /** Digests of the parts of the prompt that other calls may share, in order. */
    std::vector<std::uint64_t> sharedParts;
    /** The last event that the caller received of a stream that it resumes. */
    std::optional<std::uint64_t> lastEvent;
    /**
     * The identifier of the call that brought the first event of a stream that the caller resumes;
     * empty if it is not stated. Untrusted.
     */
    std::string resumes;
};

/** Identifies a copy of a run's memory to the server that uses it. */
struct MemoryCopy
{
    /** The address of the server that holds a backup, or from which a run was moved, "IP:port". */
    std::string address;
    /** The identifier of the call for a backup, or the handle of the move for a moved run. */
    std::string name;
};

/** The data about a call that is sent to a backend server. */
struct ForwardingOrder
{
    /** The only server that may run the call. */
    BackendServerName server;
    /** How long the server may work on the call, in milliseconds. */
    Milliseconds remainingTime{0};
    /** The account of the key; empty for calls without a key. */
    ClientAccountName account;
    /** The last event that the caller received; the run continues after it. */
    std::optional<std::uint64_t> lastEvent;
    /** The memory copy from which the run continues. */
    std::optional<MemoryCopy> source;
    /**
     * Whether the run goes on at the engine that stopped it; this is permitted for a short time
     * after the engine began to leave.
     */
    bool isReturn = false;
    /**
     * The software version that began the stream. A stream with lastEvent or source is not sent to
     * a server of another version.
     */
    std::optional<SoftwareVersion> softwareVersion;
    /**
     * The address of the server to which the run's memory is copied as it grows; empty for none.
     */
    std::string backupAddress;
};

/** The decoded header of a backend server's response. */
struct ResponseMetadata
{
    /** The identifier of the answered call; empty if it is not stated. */
    std::string requestId;
    /** Whether the response carries the signature of the server. */
    bool isSigned = false;
    /** Whether the server states that it did not run the call. */
    bool hasNotRun = false;
    /** Whether the body has a content encoding, which shows that an intermediary modified it. */
    bool isEncoded = false;
    /** Whether a server other than the intended one responded. */
    bool isMisdirected = false;
    /** Whether the server announces its leaving. */
    bool isLeaving = false;
    /** How long the server asks this host to send no calls, in milliseconds. */
    std::optional<Milliseconds> retryAfter;
    /** How many calls a second the server takes from all entry hosts together, if it states that.
     */
    std::optional<double> callLimit;
    /**
     * If the server states that it is brittle: how many calls a second it can reject, from all
     * entry hosts together, without falling over.
     */
    std::optional<double> rejectionLimit;
    /** A field that cannot be decoded and is ignored, as "NAME: VALUE"; empty for none. */
    std::string unreadableField;
};

/** Translates headers between the wire and the types above; supplied by the platform's adapter. */
struct CallCodec
{
    /** Decodes a caller's header; fails with InvalidRequest. */
    std::function<std::optional<CallMetadata>(const HttpRequest &, Error &)> decodeCall;
    /**
     * Returns the header fields to send to a server, including the forwarded fields of the caller.
     */
    std::function<HttpHeaders(const HttpRequest &, const ForwardingOrder &)> encodeOrder;
    /**
     * Returns the header fields to send to another entry host that handles the call instead: the
     * fields of the caller, with the time that is left for the call.
     */
    std::function<HttpHeaders(const HttpRequest &, Milliseconds timeLeft)> encodeRelay;
    /** Decodes a server's header. */
    std::function<ResponseMetadata(const HttpResponse &)> decodeResponse;
    /** Formats an error response of the gateway itself. */
    std::function<HttpResponse(const Error &)> formatError;
};

} // namespace sassafrasyard
