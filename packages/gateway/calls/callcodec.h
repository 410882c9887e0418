#pragma once

#include "core/core.h"
#include "network/network.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace sassafrasyard {

/** What a caller's header says about a call, decoded once. */
struct CallMetadata
{
    /** The call's name; a repeat by the caller has another one. */
    std::string requestId;
    /** How long the caller will wait from when it sent the call, in milliseconds. */
    std::optional<Milliseconds> callerTimeout;
    /** The bearer key; empty if there is none. */
    std::string key;
    /** The prompt's size in tokens. */
    std::uint32_t promptTokens = 0;
    /** The limit on the output in tokens; 0 for none. */
    std::uint32_t maximumTokens = 0;
    /** A digest of the prompt's leading part that other calls share; 0 for none. */
    std::uint64_t prefixDigest = 0;
    /** The last event that the caller has of a stream that it resumes. */
    std::optional<std::uint64_t> lastEvent;
};

/** Names a copy of a run's memory to the server that holds it. */
struct MemoryCopy
{
    /**
     * For a backup, the address of the server that holds it; for a moved run, that of the server it
     * comes from; "IP:port".
     */
    std::string address;
    /** For a backup, the call whose run was copied; for a moved run, the move's handle. */
    std::string name;
};

/** What the system tells a backend server about a call. */
struct ForwardingOrder
{
    /** The only server that may run the call. */
    BackendServerName server;
    /** How long the server may work on it, in milliseconds. */
    Milliseconds remainingTime{0};
    /** The account that the key belongs to; empty for calls without one. */
    ClientAccountName account;
    /** The last event that the caller has; the run goes on after it. */
    std::optional<std::uint64_t> lastEvent;
    /** The copy that the run goes on from. */
    std::optional<MemoryCopy> source;
    /** The address of the server to which the run's memory is copied as it grows; empty for none.
     */
    std::string backupAddress;
};

/** What a backend server's header says about its response, decoded once. */
struct ResponseMetadata
{
    /** The call it answers; empty if it does not say. */
    std::string requestId;
    /** Whether it carries the server's signature. */
    bool isSigned = false;
    /** Whether the server states that it did not run the call. */
    bool hasNotRun = false;
    /** Whether the body is encoded, so that it is not the server's own body. */
    bool isEncoded = false;
    /** Whether another server answered than the call was meant for. */
    bool isMisdirected = false;
    /** Whether the server says that it is leaving. */
    bool isLeaving = false;
    /** For how long the server that turned the call away wants nothing from this host. */
    std::optional<Milliseconds> retryAfter;
    /** A field that can't be read and counts as missing, as "NAME: VALUE"; empty for none. */
    std::string unreadableField;
};

/** Translates headers between the wire and the types above; supplied by the platform's adapter. */
struct CallCodec
{
    /** Decodes a caller's header; fails with InvalidRequest. */
    std::function<std::optional<CallMetadata>(const HttpRequest &, Error &)> decodeCall;
    /** Returns the header fields to send to a server; the caller's own ones pass, see there. */
    std::function<HttpHeaders(const HttpRequest &, const ForwardingOrder &)> encodeOrder;
    /** Decodes a server's header. */
    std::function<ResponseMetadata(const HttpResponse &)> decodeResponse;
    /** Formats an answer of the system's own. */
    std::function<HttpResponse(const Error &)> formatError;
};

} // namespace sassafrasyard
