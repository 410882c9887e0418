#include "core/time/clock.h"

#include <cassert>
#include <cstdint>
#include <ctime>

namespace sassafrasyard {

namespace {

template <typename StandardClock>
Milliseconds readStandardClock()
{
    return std::chrono::duration_cast<Milliseconds>(StandardClock::now().time_since_epoch());
}

} // namespace

Clock::Clock(Source source)
    : source(std::move(source))
{
    assert(this->source);
}

Clock Clock::steady()
{
    return Clock(readStandardClock<std::chrono::steady_clock>);
}

Clock Clock::system()
{
    return Clock(readStandardClock<std::chrono::system_clock>);
}

Clock Clock::suspendAware()
{
    return Clock([] {
        timespec time{};
        ::clock_gettime(CLOCK_BOOTTIME, &time);
        return Milliseconds(std::int64_t{time.tv_sec} * 1000 + time.tv_nsec / 1'000'000);
    });
}

Clock Clock::manual(std::shared_ptr<Milliseconds> value)
{
    assert(value);
    return Clock([value = std::move(value)] { return *value; });
}

Milliseconds Clock::now() const
{
    return this->source();
}

} // namespace sassafrasyard
