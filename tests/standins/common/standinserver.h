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
    /** Parses the command line; arguments of another form are ignored. */
    StandinFlags(int argc, char **argv);

    /** Returns a flag's text, or the default if the flag is not given. */
    std::string text(const std::string &name, const std::string &defaultValue) const;
    /** Returns a flag's number, or the default. @throws std::invalid_argument. */
    double number(const std::string &name, double defaultValue) const;

private:
    std::map<std::string, std::string> values;
};

/** Serves HTTP on the flag "listen" until SIGTERM or SIGINT. @return the exit code. */
int serveStandin(boost::asio::io_context &context, const StandinFlags &flags,
                 HttpServer::Handler handler);

/** Returns a response with the content type application/json. */
HttpResponse jsonResponse(int status, std::string body);

} // namespace sassafrasyard
