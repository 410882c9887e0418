#include "busyprocessors.h"

namespace sassafrasyard {

BusyProcessors::BusyProcessors(int count)
{
    for (int index = 0; index < count; ++index) {
        this->threads.emplace_back([this] {
            while (!this->mustStop) { }
        });
    }
}

BusyProcessors::~BusyProcessors()
{
    this->mustStop = true;
    for (std::thread &thread : this->threads)
        thread.join();
}

} // namespace sassafrasyard
