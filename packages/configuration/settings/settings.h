#pragma once

#include "core/core.h"

#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace sassafrasyard {

/** What the daemon reads at its start, from flags and environment variables. */
struct Settings
{
    /** This host's name. */
    HostName host;
    /** This host's failure domain. */
    FailureDomainName failureDomain;
    /** This host's region. */
    std::string region;
    /** "IP:port" for callers. */
    std::string callerAddress;
    /** "IP:port" for peers. */
    std::string peerAddress;
    /** "IP:port" for operators. */
    std::string adminAddress;
    /** "IP:port" of the platform's object API. */
    std::string platformAddress;
    /** Peers' "IP:port" to join through besides those in the platform. */
    std::vector<std::string> joinAddresses;
    /** The secret that authenticates stream positions; the same on every entry host. */
    std::string positionSecret;
    /** The operators' bearer token. */
    std::string operatorToken;
    /** "estimated", "prompt-queue", "least-outstanding" or "round-robin". */
    std::string placement = "estimated";
    /** Threads for input and output. */
    int ioThreads = 2;
    /** "debug", "info", "warning" or "error". */
    std::string logLevel = "info";
};

/** Reads an environment variable; the hook lets tests supply one. */
using EnvironmentReader = std::function<std::optional<std::string>(std::string_view name)>;

/**
 * Reads and checks the settings as a whole.
 *
 * @param arguments the command line without the program's name.
 * @param faults receives one SettingInvalid error for each fault, with the flag's name.
 * @return the settings, or nothing if there is a fault.
 */
std::optional<Settings> readSettings(std::span<const std::string> arguments,
                                     const EnvironmentReader &environment,
                                     std::vector<Error> &faults);

/** Returns the help text that lists every flag with its environment variable. */
std::string settingsHelp();

} // namespace sassafrasyard
