#pragma once

#include "unframedengines.h"

#include <functional>

namespace sassafrasyard {

/** A caller that leaves during its stream. */
class LeavingCaller
{
public:
    explicit LeavingCaller(UnframedEngines &engines)
        : engines(engines)
        , connection(engines.fixture.context.get_executor(), engines.fixture.callerEndpoint())
    {
    }

    /** Starts the call. */
    void start()
    {
        this->engines.fixture.spawn([this]() -> boost::asio::awaitable<void> {
            Error reason;
            bool isReading = co_await this->connection.connect(Milliseconds(1000), reason);
            const HttpRequest request =
                    GatewayFixture::makeCall("/stream/", "r1", {{"Patience", "8000"}});
            if (isReading)
                co_await this->connection.exchange(request, Milliseconds(8000), reason);
            while (isReading) {
                const auto bytes = co_await this->connection.read(Milliseconds(8000), reason);
                isReading = bytes && !bytes->empty();
                this->isComplete = bytes && bytes->empty();
            }
        });
    }

    /** Closes the connection. */
    void leave() { this->connection.close(); }

    /** Whether the response has ended as complete. */
    bool isComplete = false;

private:
    UnframedEngines &engines;
    HttpConnection connection;
};

/** Runs the host until a condition holds. @return whether it does. */
inline bool runUntil(UnframedEngines &engines, const std::function<bool()> &holds)
{
    const Milliseconds end = Clock::steady().now() + Milliseconds(6000);
    while (!holds() && Clock::steady().now() < end)
        engines.fixture.runFor(Milliseconds(20));
    return holds();
}

} // namespace sassafrasyard
