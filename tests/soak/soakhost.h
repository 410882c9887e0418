#pragma once

#include "plannedstop/daemonprocess.h"
#include "plannedstop/hostdocuments.h"

#include <boost/asio/io_context.hpp>

#include <filesystem>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace sassafrasyard {

/** One of several daemons that share a store. */
class SoakHost
{
public:
    /** Starts the daemon. @param name the name of the host. */
    SoakHost(boost::asio::io_context &context, const Endpoint &store, const std::string &name);
    ~SoakHost();
    SoakHost(const SoakHost &) = delete;
    SoakHost &operator=(const SoakHost &) = delete;

    /** Returns where callers connect. */
    Endpoint callerEndpoint() const;

    /** Returns where the host says whether it takes callers. */
    Endpoint readinessEndpoint() const;

    /** Writes another settings file and lets the daemon read it. */
    void reload(HostSettings settings);

    /** Sends a signal. */
    void signal(int number);

    /** Returns whether the daemon has exited, for instance because a port was taken. */
    bool hasExited();

    /** Returns the lines of the log with an event. */
    std::vector<std::string> logLines(std::string_view eventName) const;

private:
    void writeSettings(HostSettings settings) const;

    std::string name;
    Endpoint store;
    std::filesystem::path directory;
    std::uint16_t firstPort = 0;
    std::unique_ptr<DaemonProcess> daemon;
};

} // namespace sassafrasyard
