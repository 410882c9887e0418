#pragma once

#include "core/core.h"

#include <cstdint>
#include <functional>
#include <map>

namespace sassafrasyard {

/** The streams that are being relayed, by the backend server that runs them. */
class ActiveStreams
{
public:
    /** Called when the server that runs the stream is about to go. */
    using LeavingHook = std::function<void()>;

    /** Registers a stream for the life of the object. */
    class Registration
    {
    public:
        /** Registers a stream. @param hook may close the stream's connection, nothing more. */
        Registration(ActiveStreams &streams, BackendServerName server, LeavingHook hook);
        /** Withdraws it. */
        ~Registration();
        Registration(const Registration &) = delete;
        Registration &operator=(const Registration &) = delete;

    private:
        ActiveStreams &streams;
        BackendServerName server;
        std::uint64_t number;
    };

    /** Tells the streams of a server that it is about to go. */
    void notifyLeaving(const BackendServerName &server);
    /** Returns the number of streams. */
    std::size_t size() const;

private:
    std::map<BackendServerName, std::map<std::uint64_t, LeavingHook>> hooks;
    std::uint64_t lastNumber = 0;
};

} // namespace sassafrasyard
