#pragma once

#include "network/network.h"

#include <optional>
#include <string>

namespace sassafrasyard {

/** A blocking client of the admin API. */
class AdminClient
{
public:
    /** Creates a client. @param address "IP:port". @param token the operators' bearer token. */
    AdminClient(std::string address, std::string token);
    AdminClient(const AdminClient &) = delete;
    AdminClient &operator=(const AdminClient &) = delete;

    /** Sends a request and waits. @param reason receives the error if there is no response. */
    std::optional<HttpResponse> send(std::string method, std::string target, std::string body,
                                     Error &reason);

private:
    std::string address;
    std::string token;
};

} // namespace sassafrasyard
