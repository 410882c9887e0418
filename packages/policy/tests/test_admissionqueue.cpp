#include "policy/policy.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

using namespace sassafrasyard;

namespace {

const QueueGroup planGroup{ModelName("plan"), "", {}, false};

WorkRequest makeRequest(int number, int account, Priority priority, std::uint32_t maximumTokens)
{
    WorkRequest request;
    request.name = RequestName(std::to_string(number));
    request.account = ClientAccountName("account-" + std::to_string(account));
    request.model = planGroup.model;
    request.priority = priority;
    request.maximumTokens = maximumTokens;
    return request;
}

} // namespace

// Guards against an account that gets more than its share while other accounts wait.
TEST_CASE("Backlogged accounts are served in proportion to their weights", "[policy]")
{
    rc::prop("served cost by weight differs by at most one request of each account", [] {
        AdmissionQueue queue({100'000, 100'000, 256});
        const int accounts = *rc::gen::inRange(2, 6);
        std::vector<double> weights;
        std::map<RequestName, std::pair<std::size_t, double>> owners;
        const double largest = 1000.0;
        int number = 0;
        for (int account = 0; account < accounts; ++account) {
            weights.push_back(*rc::gen::inRange(1, 8));
            queue.setWeight(makeRequest(0, account, Priority::Normal, 0).account, weights.back());
            for (int index = 0; index < 400; ++index) {
                const WorkRequest request = makeRequest(++number, account, Priority::Normal, 0);
                const double cost = 1.0 + (number * 7919 % 1000);
                owners[request.name] = {static_cast<std::size_t>(account), cost};
                queue.push(planGroup, request, cost, Milliseconds(0));
            }
        }
        std::vector<double> served(weights.size(), 0.0);
        const int placements = *rc::gen::inRange(10, 100);
        for (int index = 0; index < placements; ++index) {
            const RequestName name = queue.next(planGroup, 0)->name;
            queue.recordPlaced(name);
            const auto &[owner, cost] = owners[name];
            served[owner] += cost / weights[owner];
            for (std::size_t left = 0; left < served.size(); ++left) {
                for (std::size_t right = 0; right < served.size(); ++right)
                    RC_ASSERT(served[left] - served[right]
                              <= largest / weights[left] + largest / weights[right]);
            }
        }
    });
}

// Guards against an account that accumulates credit while it is idle.
TEST_CASE("An account that returns gets no credit for its idle time", "[policy]")
{
    AdmissionQueue queue({1000, 1000, 256});
    for (int number = 0; number < 60; ++number)
        queue.push(planGroup, makeRequest(number, 0, Priority::Normal, 0), 100.0, Milliseconds(0));
    for (int index = 0; index < 20; ++index)
        queue.recordPlaced(queue.next(planGroup, 0)->name);
    for (int number = 100; number < 120; ++number)
        queue.push(planGroup, makeRequest(number, 1, Priority::Normal, 0), 100.0, Milliseconds(0));
    int placedOfFirstAccount = 0;
    for (int index = 0; index < 20; ++index) {
        const WorkRequest *next = queue.next(planGroup, 0);
        placedOfFirstAccount +=
                next->account == makeRequest(0, 0, Priority::Normal, 0).account ? 1 : 0;
        queue.recordPlaced(next->name);
    }
    REQUIRE(placedOfFirstAccount >= 9);
    REQUIRE(placedOfFirstAccount <= 11);
}

// Guards against starving low-priority or long requests.
TEST_CASE("Every level is served within 24 placements", "[policy]")
{
    rc::prop("a request of any level is placed although higher levels stay occupied", [] {
        AdmissionQueue queue({1000, 1000, 256});
        const auto priority = static_cast<Priority>(*rc::gen::inRange(0, 3));
        const bool isShort = *rc::gen::arbitrary<bool>();
        const int before = *rc::gen::inRange(0, 50);
        int number = 1;
        for (int index = 0; index < before; ++index) {
            queue.push(planGroup, makeRequest(++number, 1, Priority::High, 10), 10.0,
                       Milliseconds(0));
            queue.recordPlaced(queue.next(planGroup, 0)->name);
        }
        const WorkRequest watched = makeRequest(0, 0, priority, isShort ? 10 : 0);
        queue.push(planGroup, watched, 500.0, Milliseconds(0));
        int placements = 0;
        while (queue.contains(watched.name)) {
            for (const std::uint32_t tokens : {10U, 0U})
                queue.push(planGroup, makeRequest(++number, 1, Priority::High, tokens), 10.0,
                           Milliseconds(0));
            queue.recordPlaced(queue.next(planGroup, 0)->name);
            RC_ASSERT(++placements <= 24);
        }
    });
}

// Guards against a queue above its limits and against requests lost without a result.
TEST_CASE("Queue bounds hold and every request is accounted for", "[policy]")
{
    rc::prop("random pushes, placements and withdrawals", [] {
        AdmissionQueue queue({20, 8, 256});
        std::map<RequestName, ClientAccountName> waiting;
        const int steps = *rc::gen::inRange(1, 200);
        for (int number = 0; number < steps; ++number) {
            const int action = *rc::gen::inRange(0, 8);
            if (action == 0 && !waiting.empty()) {
                const RequestName name = waiting.begin()->first;
                RC_ASSERT(queue.remove(name).has_value());
                waiting.erase(name);
            } else if (action == 1 && !waiting.empty()) {
                const RequestName name = queue.next(planGroup, 0)->name;
                queue.recordPlaced(name);
                RC_ASSERT(waiting.erase(name) == 1);
            } else {
                const auto priority = static_cast<Priority>(*rc::gen::inRange(0, 3));
                const WorkRequest request = makeRequest(number, *rc::gen::inRange(0, 5), priority,
                                                        300U * (action % 2U));
                const QueueResult result = queue.push(planGroup, request, 5.0, Milliseconds(0));
                if (result.displaced) {
                    RC_ASSERT(result.displaced->priority <= priority);
                    RC_ASSERT(waiting.erase(result.displaced->name) == 1);
                }
                if (result.isQueued)
                    waiting.emplace(request.name, request.account);
            }
            RC_ASSERT(queue.size() == waiting.size());
            RC_ASSERT(queue.size() <= 20);
            for (int account = 0; account < 5; ++account)
                RC_ASSERT(queue.sizeOf(makeRequest(0, account, Priority::Low, 0).account) <= 8);
        }
    });
}

// Guards against one account filling the queue and blocking all others.
TEST_CASE("A full queue displaces requests of the largest account for a small one", "[policy]")
{
    AdmissionQueue queue({20, 20, 256});
    for (int number = 0; number < 20; ++number)
        REQUIRE(queue.push(planGroup, makeRequest(number, 0, Priority::Normal, 0), 1.0,
                           Milliseconds(0))
                        .isQueued);
    const auto other =
            queue.push(planGroup, makeRequest(50, 1, Priority::Normal, 0), 1.0, Milliseconds(0));
    REQUIRE(other.isQueued);
    REQUIRE(other.displaced->name == RequestName("19"));
    REQUIRE_FALSE(queue.push(planGroup, makeRequest(51, 1, Priority::Low, 0), 1.0, Milliseconds(0))
                          .isQueued);
}
