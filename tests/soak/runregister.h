#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

namespace sassafrasyard {

/** What all engines of a test know together: where runs are in progress and copies of runs are. */
class RunRegister
{
public:
    /**
     * Notes that a server begins to work on a request, and whether another one does so too.
     *
     * @return how many runs of the request have begun, with this one.
     */
    int begin(const std::string &requestId, const std::string &address);

    /** Notes that a server no longer works on a request. */
    void end(const std::string &requestId, const std::string &address);

    /** Returns whether a server ever worked on a request. */
    bool hasBegun(const std::string &requestId) const;

    /** Notes that the server at an address has room for copies. */
    void addRoom(const std::string &address);

    /** Returns whether the server at an address has room for copies. */
    bool hasRoom(const std::string &address) const;

    /** Notes a copy. @param holders the addresses of the servers that hold it. */
    void addCopy(const std::string &name, const std::string &requestId,
                 std::set<std::string> holders);

    /** Uses a copy at a server, once. @return whether the server held it. */
    bool takeCopy(const std::string &name, const std::string &requestId,
                  const std::string &address);

    /** Removes a copy. */
    void dropCopy(const std::string &name);

    /** Notes that a run whose engine was asked to stop it had ended by itself. */
    void recordEndBesideStop(const std::string &requestId);

    /** Returns the requests of recordEndBesideStop(). */
    const std::set<std::string> &endsBesideStops() const;

    /** Counts what an engine has done, for the summary. */
    void count(const std::string &name);

    /** Returns the numbers of count(). */
    const std::map<std::string, int> &counts() const;

    /** Returns a line for each request that two servers worked on at one time. */
    const std::vector<std::string> &violations() const;

private:
    struct Copy
    {
        std::string requestId;
        std::set<std::string> holders;
    };

    std::map<std::string, std::set<std::string>> running;
    std::map<std::string, int> runCounts;
    std::set<std::string> endedBesideStops;
    std::map<std::string, int> countsByName;
    std::map<std::string, Copy> copies;
    std::set<std::string> rooms;
    std::vector<std::string> found;
};

} // namespace sassafrasyard
