#pragma once

#include <atomic>
#include <thread>
#include <vector>

namespace sassafrasyard {

/** Threads that keep processors busy until the object is destroyed. */
class BusyProcessors
{
public:
    /** Starts the threads. */
    explicit BusyProcessors(int count);
    ~BusyProcessors();
    BusyProcessors(const BusyProcessors &) = delete;
    BusyProcessors &operator=(const BusyProcessors &) = delete;

private:
    std::atomic<bool> mustStop = false;
    std::vector<std::thread> threads;
};

} // namespace sassafrasyard
