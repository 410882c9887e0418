#pragma once

#include "network/network.h"

#include <boost/asio/io_context.hpp>

#include <map>
#include <string>

namespace sassafrasyard {

/** The flags of a stand-in, given as "--name=value". */
class StandinFlags
{
public:
    /** Reads the command line. */
    StandinFlags(int argc, char **argv);

    /** Returns a flag's text, or the given default. */
    std::string text(const std::string &name, const std::string &defaultValue) const;
    /** Returns a flag's number, or the given default. */
    double number(const std::string &name, double defaultValue) const;

private:
    std::map<std::string, std::string> values;
};

/** Serves HTTP on the flag "listen" in a single thread until SIGTERM. @return the exit code. */
int serveStandin(boost::asio::io_context &context, const StandinFlags &flags,
                 HttpServer::Handler handler);

/** Returns a JSON response. */
HttpResponse jsonResponse(int status, std::string body);

} // namespace sassafrasyard
