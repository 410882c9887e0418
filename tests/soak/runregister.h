#pragma once

#include "core/core.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace sassafrasyard {

/** How the process of an engine ends. */
enum class EngineExit {
    /** While it is in use. */
    WithoutNotice,
    /** After it has left. */
    AfterLeaving,
};

/** Returns the name of an end. */
std::string_view toString(EngineExit exit);

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

    /** Notes that copies of a request are of a run that no host continues any more. */
    void retireCopies(const std::string &requestId);

    /** Removes a copy. */
    void dropCopy(const std::string &name);

    /** Notes that the server at an address takes new runs and continuations. */
    void addUsable(const std::string &address);

    /** Notes that the server at an address leaves or has exited. */
    void removeUsable(const std::string &address);

    /** Returns whether a usable server holds a copy of a request's current run. */
    bool hasUsableCopy(const std::string &requestId) const;

    /** Returns the usable server that holds most copies of the runs at an address, or nothing. */
    std::optional<std::string> copyHolder(const std::string &address) const;

    /**
     * Notes that the server at an address has exited: its runs have ended, and its copies are gone.
     * Runs in progress there are lost that have no copy at a usable server.
     */
    void exit(const std::string &address, EngineExit exit);

    /**
     * Notes that a run without a length and chunks has ended by itself at the server at an address.
     * A copy at a usable server can tell so after the server has exited.
     *
     * @param accepts whether the server accepts connections.
     */
    void recordUnframedEnd(const std::string &requestId, const std::string &address, bool accepts);

    /** Notes a run that nothing can continue. */
    void lose(const std::string &requestId, const std::string &reason);

    /**
     * Returns why nothing could tell the end of a request's run or continue it at a time, if so.
     *
     * @param at in milliseconds since the Unix epoch.
     */
    std::optional<std::string> lossReason(const std::string &requestId, Milliseconds at) const;

    /** Notes that a run whose engine was asked to stop it had ended by itself. */
    void recordEndBesideStop(const std::string &requestId);

    /** Returns the requests of recordEndBesideStop(). */
    const std::set<std::string> &endsBesideStops() const;

    /**
     * Returns how the last run of a request ended that an exit has ended or that had neither a
     * length nor chunks, with its copies at usable servers then; for messages.
     */
    std::string describeEnd(const std::string &requestId) const;

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
        /** Whether it is of a run before the request's current one. */
        bool isFormer = false;
    };

    /** Why a run is lost, and since when, in milliseconds since the Unix epoch. */
    struct Loss
    {
        std::string reason;
        Milliseconds at{0};
    };

    bool hasLongHadRoom() const;
    std::string usableCopies(const std::string &requestId) const;
    void endRuns(const std::string &address, EngineExit exit);
    void dropCopiesAt(const std::string &address, EngineExit exit);

    std::map<std::string, std::set<std::string>> running;
    std::map<std::string, int> runCounts;
    std::set<std::string> endedBesideStops;
    std::map<std::string, int> countsByName;
    std::map<std::string, Copy> copies;
    std::set<std::string> rooms;
    /** The addresses of usable servers, and since when they are. */
    std::map<std::string, Milliseconds> usable;
    /** The requests whose unframed run has ended by itself without a copy, by the server. */
    std::map<std::string, std::set<std::string>> unframedEnds;
    std::map<std::string, Loss> losses;
    std::map<std::string, std::string> endTexts;
    std::vector<std::string> found;
};

} // namespace sassafrasyard
