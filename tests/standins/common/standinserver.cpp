#include "standins/common/standinserver.h"

#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <iostream>

namespace sassafrasyard {

StandinFlags::StandinFlags(int argc, char **argv)
{
    for (int index = 1; index < argc; ++index) {
        const std::string argument = argv[index];
        const std::size_t equals = argument.find('=');
        if (argument.starts_with("--") && equals != std::string::npos)
            this->values[argument.substr(2, equals - 2)] = argument.substr(equals + 1);
    }
}

std::string StandinFlags::text(const std::string &name, const std::string &defaultValue) const
{
    const auto known = this->values.find(name);
    return known == this->values.end() ? defaultValue : known->second;
}

double StandinFlags::number(const std::string &name, double defaultValue) const
{
    const auto known = this->values.find(name);
    return known == this->values.end() ? defaultValue : std::stod(known->second);
}

int serveStandin(boost::asio::io_context &context, const StandinFlags &flags,
                 HttpServer::Handler handler)
{
    HttpServer server(context, HttpServerOptions(), std::move(handler), [](const Error &error) {
        return jsonResponse(httpStatus(error.code), "{}");
    });
    Error reason;
    const auto endpoint = parseEndpoint(flags.text("listen", ""), reason);
    const auto listening = endpoint ? server.listen(*endpoint, reason) : std::nullopt;
    if (!listening) {
        std::cerr << reason.detail << '\n';
        return 1;
    }
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](const boost::system::error_code &, int) { context.stop(); });
    std::cout << "listening on " << listening->toString() << std::endl;
    context.run();
    return 0;
}

HttpResponse jsonResponse(int status, std::string body)
{
    HttpResponse response;
    response.status = status;
    response.headers.emplace_back("Content-Type", "application/json");
    response.body = std::move(body);
    return response;
}

} // namespace sassafrasyard
