#pragma once

#include "core/core.h"

#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace sassafrasyard {

/** The daemon's settings, read at startup from flags and environment variables. */
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
    /** Addresses ("IP:port") of peers to join in addition to those registered in the platform. */
    std::vector<std::string> joinAddresses;
    /** The secret that authenticates stream positions; must be the same on every entry host. */
    std::string positionSecret;
    /** The operators' bearer token. */
    std::string operatorToken;
    /** The placement: "estimated", "prompt-queue", "least-outstanding" or "round-robin". */
    std::string placement = "estimated";
    /** The number of input/output threads, 1 to 64. */
    int ioThreads = 2;
    /** The lowest level that is logged: "debug", "info", "warning" or "error". */
    std::string logLevel = "info";
};

/** Returns the value of an environment variable, or nothing; tests pass their own function. */
using EnvironmentReader = std::function<std::optional<std::string>(std::string_view name)>;

/**
 * Reads and validates all settings.
 *
 * @param arguments the command line without the program's name.
 * @param faults receives one SettingInvalid error per fault, with the name of the flag.
 * @return the settings, or nothing if there is a fault.
 */
std::optional<Settings> readSettings(std::span<const std::string> arguments,
                                     const EnvironmentReader &environment,
                                     std::vector<Error> &faults);

/** Returns the help text that lists every flag with its environment variable. */
std::string settingsHelp();

} // namespace sassafrasyard
