#include "soakhost.h"

#include "plannedstop/freeports.h"

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <stdexcept>
#include <utility>

namespace sassafrasyard {

namespace {

/** Callers, readiness, addresses, peers and metrics. */
constexpr std::uint16_t portCount = 6;
constexpr int maximumProbes = 100;

} // namespace

SoakHost::SoakHost(boost::asio::io_context &context, const Endpoint &store, const std::string &name)
    : name(name)
    , store(store)
{
    std::string pattern = (std::filesystem::temp_directory_path() / "soak-XXXXXX").string();
    if (::mkdtemp(pattern.data()) == nullptr)
        throw std::runtime_error("cannot create a directory " + pattern);
    this->directory = pattern;
    for (int tries = 0; this->firstPort == 0 && tries < maximumProbes; ++tries)
        this->firstPort = findFreePorts(context, portCount);
    this->writeSettings(HostSettings());
    this->daemon = std::make_unique<DaemonProcess>((this->directory / "settings.yaml").string(),
                                                   (this->directory / "log").string());
}

SoakHost::~SoakHost()
{
    this->daemon.reset();
    // SOAK_KEEP_LOGS keeps the logs of the hosts for the search for a cause.
    if (std::getenv("SOAK_KEEP_LOGS") != nullptr)
        return;
    std::error_code ignored;
    std::filesystem::remove_all(this->directory, ignored);
}

Endpoint SoakHost::callerEndpoint() const
{
    return {"127.0.0.1", this->firstPort};
}

Endpoint SoakHost::readinessEndpoint() const
{
    return {"127.0.0.1", static_cast<std::uint16_t>(this->firstPort + 1)};
}

void SoakHost::reload(HostSettings settings)
{
    this->writeSettings(std::move(settings));
    this->signal(SIGHUP);
}

void SoakHost::signal(int number)
{
    this->daemon->signal(number);
}

bool SoakHost::hasExited()
{
    return this->daemon->hasEnded();
}

std::vector<std::string> SoakHost::logLines(std::string_view eventName) const
{
    std::vector<std::string> found;
    std::ifstream log(this->directory / "log");
    const std::string field = "\"name\":\"" + std::string(eventName) + "\"";
    for (std::string line; std::getline(log, line);) {
        if (line.find(field) != std::string::npos)
            found.push_back(line);
    }
    return found;
}

void SoakHost::writeSettings(HostSettings settings) const
{
    settings.name = this->name;
    std::ofstream file(this->directory / "settings.yaml");
    file << settings.toText(this->firstPort, this->store);
}

} // namespace sassafrasyard
