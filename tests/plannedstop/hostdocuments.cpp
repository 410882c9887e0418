#include "hostdocuments.h"

namespace sassafrasyard {

namespace {

/** The part of a route that says where its requests go. */
constexpr const char *deskService = R"("service":"desk")";
constexpr const char *engineService = R"("service":"engine")";
constexpr Milliseconds longTimeout{60000};
constexpr Milliseconds quickTimeout{500};

std::string loopback(int port)
{
    return "127.0.0.1:" + std::to_string(port);
}

std::string routeText(const HostConfiguration &configuration, const std::string &name,
                      const std::string &kind, const std::string &services, Milliseconds timeout,
                      const std::string &further = R"(,"auth-exempt":true)")
{
    return R"({"name":")" + name + R"(","host":"h","path-prefix":"/)" + name + R"(/","kind":")"
            + kind + R"(","timeout-ms":)" + std::to_string(timeout.count())
            + R"(,"target-latency-ms":1500,"gap-aim-ms":)"
            + std::to_string(configuration.targetPause.count())
            + R"(,"priority":0,"max-attempts":2,)" + services + further + "}";
}

std::string routesText(const HostConfiguration &configuration)
{
    std::string text = routeText(configuration, "lookup", "idempotent", deskService, longTimeout)
            + "," + routeText(configuration, "quick", "idempotent", deskService, quickTimeout) + ","
            + routeText(configuration, "order", "non_idempotent", deskService, longTimeout) + ","
            + routeText(configuration, "report", "streaming", engineService, longTimeout,
                        R"(,"resumable":true,"auth-exempt":true)")
            + "," + routeText(configuration, "secret", "streaming", engineService, longTimeout, "");
    if (configuration.hasStory)
        text += ","
                + routeText(configuration, "story", "streaming", configuration.storyServices,
                            configuration.storyTimeout);
    for (int index = 1; index <= configuration.furtherRoutes; ++index)
        text += ","
                + routeText(configuration, "further-" + std::to_string(index), "idempotent",
                            deskService, longTimeout);
    return text;
}

} // namespace

std::string HostSettings::toText(int firstPort, const Endpoint &store) const
{
    constexpr double millisecondsPerSecond = 1000.0;
    return R"(node: ")" + this->name + R"("
zone: "a"
region: "r"
ip: "127.0.0.1"
listen:
  front: ")" + loopback(firstPort)
            + R"("
  ready: ")" + loopback(firstPort + 1)
            + R"("
  directory: ")"
            + loopback(firstPort + 2) + R"("
internal-ports: [)"
            + std::to_string(firstPort + 3) + ", " + std::to_string(firstPort + 5) + R"(]
limits:
  max-fds: 4100
heartbeat-ms: 1200
bounds:
  drain-ms: 2000
  config-apply-ms: 2000
  grace-s: )"
            + std::to_string(static_cast<double>(this->grace.count()) / millisecondsPerSecond) + R"(
  revoke-fail-closed: true
  revoke-ms: )"
            + std::to_string(this->maximumKeyAge.count()) + R"(
  retry-budget-ratio: )"
            + std::to_string(this->retryRatio) + R"(
  budget-window-s: 10
  retry-budget-slack: )"
            + std::to_string(this->retrySlack)
            + (this->evacuationTime
                       ? "\n  evacuation-ms: " + std::to_string(this->evacuationTime->count())
                       : "")
            + R"(
  ttl_max_s: 5
platform-params:
  addr: ")" + store.toString()
            + "\"\n";
}

std::string HostConfiguration::toText() const
{
    const std::string copies = this->copiesRuns ? R"(,"backups":true,"moves":true)" : "";
    const std::string accounts = this->key.empty()
            ? ""
            : R"("tenants":[{"name":"t","api-keys":[")" + this->key + R"("]}],)";
    const std::string engines = R"(,{"name":"engine","max-connections":100,"engine":{"slots":)"
            + std::to_string(this->engineSlots) + R"(,"kv-capacity-tokens":100000,"stride":1)"
            + copies + "}}";
    return R"({"version":)" + std::to_string(this->version) + "," + accounts + R"("routes":[)"
            + routesText(*this) + R"(],"services":[{"name":"desk","max-connections":100})"
            + (this->hasEngines ? engines : "")
            + R"(],"limits":{"max-header-bytes":16384,"max-body-bytes":)"
            + std::to_string(this->maximumBodyBytes) + R"(,"header-timeout-ms":)"
            + std::to_string(this->readTimeout.count()) + R"(,"idle-timeout-ms":)"
            + std::to_string(this->idleTimeout.count()) + "}}";
}

} // namespace sassafrasyard
