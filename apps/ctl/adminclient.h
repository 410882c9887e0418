#pragma once

#include "network/network.h"

#include <optional>
#include <string>

namespace sassafrasyard {

/** Sends single requests to the admin API and waits for the answers. */
class AdminClient
{
public:
    /** Creates a client. @param address "IP:port". */
    AdminClient(std::string address, std::string token);
    AdminClient(const AdminClient &) = delete;
    AdminClient &operator=(const AdminClient &) = delete;

    /** Sends a request. @param reason receives the failure if there is no answer. */
    std::optional<HttpResponse> send(std::string method, std::string target, std::string body,
                                     Error &reason);

private:
    std::string address;
    std::string token;
};

} // namespace sassafrasyard
