#pragma once

#include "runregister.h"
#include "soakcaller.h"
#include "soakengine.h"
#include "soakhost.h"

#include "platform/tests/standinstore.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace sassafrasyard {

/** Several daemons with their store, engines and callers, and the changes beside the calls. */
class Fleet
{
public:
    /**
     * Starts the daemons and waits until they serve.
     *
     * @param seed decides the changes.
     * @param unframedPercent the share of the streams that have neither a length nor chunks; 0
     * leaves all other draws as they are.
     */
    Fleet(int hostCount, std::uint64_t seed, int unframedPercent);
    Fleet(const Fleet &) = delete;
    Fleet &operator=(const Fleet &) = delete;

    /** Whether all daemons became ready. */
    bool isReady() const;

    /** Lets callers send requests for some time. @return whether all requests have ended. */
    bool run(Milliseconds time);

    /** Returns a line for each broken promise; see the source for the kinds. */
    std::vector<std::string> findFaults();

    /** Returns how many requests were answered, refused and how many changes were made. */
    std::string summary() const;

private:
    /** A change that is made again and again after pauses between the limits. */
    struct Change
    {
        std::string name;
        int shortestPause = 0;
        int longestPause = 0;
        std::function<void(std::mt19937_64 &)> make;
        std::mt19937_64 random;
        Milliseconds nextAt{0};
        int count = 0;
    };

    void addCallerFaults(std::vector<std::string> &faults,
                         const std::set<std::string> &brokenStreams);
    bool mayBeUnanswered(const SoakCall &call);
    void countCalls(std::map<std::string, int> &counts) const;
    void addEngine(bool hasRoom);
    void startHosts(int count);
    bool isHostReady(const SoakHost &host);
    void addChanges(std::uint64_t seed);
    void reloadHosts(std::mt19937_64 &random);
    void writeConfigurations(std::mt19937_64 &random);
    void silenceEngine(std::mt19937_64 &random);
    void replaceEngine(std::mt19937_64 &random);
    void replacePair(std::mt19937_64 &random);
    void beginLeaving(std::string name, std::mt19937_64 &random);
    void exitEngine(std::mt19937_64 &random);
    std::string copyHolder(const std::string &name) const;
    bool mayLoseEngines(const std::set<std::string> &names) const;
    void stopHost(std::mt19937_64 &random);
    void later(Milliseconds time, std::function<void()> action);
    void makeChanges();
    void runLater();
    void removeLeftEngines();
    HostConfiguration baseConfiguration();
    void writeConfiguration(const HostConfiguration &configuration);

    boost::asio::io_context context;
    StandInStore store;
    RunRegister runs;
    EngineDraws draws;
    /** The servers by name, also those that have exited. */
    std::map<std::string, std::unique_ptr<SoakEngine>> engines;
    std::vector<std::string> usableEngines;
    /** The names of the engines that have left, and from when on they may end. */
    std::map<std::string, Milliseconds> leftEngines;
    std::vector<std::unique_ptr<SoakHost>> hosts;
    std::vector<std::unique_ptr<SoakCaller>> callers;
    std::vector<Change> changes;
    std::vector<std::pair<Milliseconds, std::function<void()>>> laterActions;
    /** The numbers of requests without their whole answer that may lack it, by the reason. */
    std::map<std::string, int> allowedCuts;
    int engineCount = 0;
    int version = 0;
    std::size_t nextHost = 0;
    bool areReady = false;
};

} // namespace sassafrasyard
