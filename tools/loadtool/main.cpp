#include "loadrun.h"
#include "standins/common/standinserver.h"

#include <iostream>

using namespace sassafrasyard;

namespace {

constexpr const char *help =
        "Usage: loadtool --mix=peach|daugava|relay --entry=IP:port,... --engines=IP:port,...\n"
        "  --services=IP:port,...\n"
        "  --duration-s=30 --drain-s=5 --load=0.9 --slots=16 --seed=1 --slowdown=3\n"
        "  --output=table|json --threads=1\n"
        "  relay: --streams=1320 --tokens=320 --model=plan --direct=true|false --watch-pid=0\n";

std::vector<Endpoint> parseEndpoints(const std::string &text)
{
    std::vector<Endpoint> parsed;
    std::string_view remaining = text;
    while (!remaining.empty()) {
        const std::string_view item = remaining.substr(0, remaining.find(','));
        remaining.remove_prefix(std::min(remaining.size(), item.size() + 1));
        Error reason;
        if (const auto endpoint = parseEndpoint(item, reason))
            parsed.push_back(*endpoint);
        else
            std::cerr << reason.detail << '\n';
    }
    return parsed;
}

RunTime seconds(const StandinFlags &flags, const char *name, double defaultSeconds)
{
    constexpr double microsecondsPerSecond = 1e6;
    return RunTime(
            static_cast<std::int64_t>(flags.number(name, defaultSeconds) * microsecondsPerSecond));
}

LoadRunOptions readOptions(const StandinFlags &flags)
{
    LoadRunOptions options;
    options.mix = flags.text("mix", options.mix);
    options.entryHosts = parseEndpoints(flags.text("entry", ""));
    options.engines = parseEndpoints(flags.text("engines", ""));
    options.services = parseEndpoints(flags.text("services", ""));
    options.slots = static_cast<std::size_t>(flags.number("slots", 16));
    options.duration = seconds(flags, "duration-s", 30);
    options.drain = seconds(flags, "drain-s", 5);
    options.load = flags.number("load", options.load);
    options.seed = static_cast<std::uint64_t>(flags.number("seed", 1));
    options.slowdown = flags.number("slowdown", options.slowdown);
    options.streams = static_cast<std::size_t>(flags.number("streams", 1320));
    options.streamTokens = static_cast<std::uint32_t>(flags.number("tokens", 320));
    options.model = flags.text("model", options.model);
    options.isDirect = flags.text("direct", "false") == "true";
    options.measuredProcess = static_cast<int>(flags.number("watch-pid", 0));
    options.threads = static_cast<int>(flags.number("threads", 1));
    return options;
}

bool isValid(const LoadRunOptions &options)
{
    const bool isRelay = options.mix == "relay";
    if (!isRelay && findWorkloadMix(options.mix).longEngines == 0)
        return false;
    return !options.engines.empty() && (options.isDirect || !options.entryHosts.empty())
            && options.threads > 0 && options.streams > 0 && options.load > 0.0;
}

} // namespace

int main(int argc, char **argv)
{
    const StandinFlags flags(argc, argv);
    LoadRunOptions options = readOptions(flags);
    if (!isValid(options)) {
        std::cerr << help;
        return 2;
    }
    LoadRun run(std::move(options));
    const auto rows = run.run();
    const bool isJson = flags.text("output", "table") == "json";
    std::cout << (isJson ? formatJson(rows) + "\n" : formatTable(rows));
    return 0;
}
