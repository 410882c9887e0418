#include "scenarios/runner/portreservation.h"

#include "scenarios/runner/scenarioerror.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace sassafrasyard {

namespace {

constexpr unsigned firstPort = 24000;
constexpr unsigned portCount = 2000;
/** The distance between the first ports that runners with consecutive process ids try. */
constexpr unsigned searchStride = 37;

/** Returns a socket bound to a loopback port, or -1 if it cannot be bound. */
int bindLoopback(int type, std::uint16_t port)
{
    const int descriptor = socket(AF_INET, type | SOCK_CLOEXEC, 0);
    if (descriptor < 0)
        return -1;
    const int isOn = 1;
    if (type == SOCK_STREAM)
        setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &isOn, sizeof(isOn));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (bind(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0)
        return descriptor;
    close(descriptor);
    return -1;
}

} // namespace

PortReservation::PortReservation()
{
    static unsigned next = static_cast<unsigned>(getpid()) * searchStride;
    for (unsigned attempt = 0; attempt < portCount; ++attempt) {
        const auto candidate = static_cast<std::uint16_t>(firstPort + next++ % portCount);
        const int reservation = bindLoopback(SOCK_DGRAM, candidate);
        if (reservation < 0)
            continue;
        const int probe = bindLoopback(SOCK_STREAM, candidate);
        if (probe < 0) {
            close(reservation);
            continue;
        }
        close(probe);
        this->descriptor = reservation;
        this->number = candidate;
        return;
    }
    throw ScenarioError(ScenarioErrorCode::ProcessFailed, "no free port");
}

PortReservation::~PortReservation()
{
    close(this->descriptor);
}

std::uint16_t PortReservation::port() const
{
    return this->number;
}

} // namespace sassafrasyard
