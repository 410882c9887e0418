#include "gateway/relay/silencewatch.h"

#include <boost/asio/steady_timer.hpp>

#include <utility>

namespace sassafrasyard {

namespace net = boost::asio;

/** The timer and the deadline; shared with the handler of the timer. */
struct SilenceWatch::State : std::enable_shared_from_this<State>
{
    State(net::io_context &context, std::function<void()> onSilence)
        : timer(context)
        , onSilence(std::move(onSilence))
    {
    }

    void arm()
    {
        this->isArmed = true;
        this->timer.expires_at(*this->deadline);
        this->timer.async_wait([weak = this->weak_from_this()](boost::system::error_code code) {
            const auto self = weak.lock();
            if (self && !code)
                self->expire();
        });
    }

    void expire()
    {
        this->isArmed = false;
        if (!this->deadline)
            return;
        if (std::chrono::steady_clock::now() < *this->deadline) {
            this->arm();
            return;
        }
        this->deadline.reset();
        this->onSilence();
    }

    net::steady_timer timer;
    std::function<void()> onSilence;
    std::optional<std::chrono::steady_clock::time_point> deadline;
    bool isArmed = false;
};

SilenceWatch::SilenceWatch(net::io_context &context, std::function<void()> onSilence)
    : state(std::make_shared<State>(context, std::move(onSilence)))
{
}

SilenceWatch::~SilenceWatch() = default;

void SilenceWatch::restart(std::optional<Milliseconds> timeout)
{
    this->state->deadline.reset();
    if (!timeout)
        return;
    this->state->deadline = std::chrono::steady_clock::now() + *timeout;
    // A timer armed for an earlier deadline expires first and is then rearmed for this one.
    if (!this->state->isArmed || this->state->timer.expiry() > *this->state->deadline)
        this->state->arm();
}

} // namespace sassafrasyard
