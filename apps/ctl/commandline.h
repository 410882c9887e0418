#pragma once

#include "core/core.h"

#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace sassafrasyard {

/** What sassafrasyardctl was asked to do. */
struct CommandLine
{
    /** The command and its arguments. */
    std::vector<std::string> arguments;
    /** "IP:port" of the admin API of any entry host. */
    std::string adminAddress;
    /** The operators' bearer token. */
    std::string operatorToken;
    /** "table" or "json". */
    std::string output = "table";
    /** The file with documents, "-" for the standard input. */
    std::string file = "-";
    /** The change identifier; a random one if empty. */
    std::string change;
    /** Who makes the change. */
    std::string author;
    /** Why. */
    std::string comment;
    /** The revision the change is based on; the present one if empty. */
    std::string base;
    /** The model of a rollout. */
    std::string model;
    /** The new version of a rollout. */
    std::string version;
    /** The backend servers of a rollout in order, separated by commas; all if empty. */
    std::string servers;
    /** The share of backend servers that a rollout changes at the same time. */
    std::string parallel;
    /** The factor of the time per token at which a rollout stops. */
    std::string slowdown;
    /** Whether only the help is wanted. */
    bool isHelp = false;
};

/** Reads an environment variable. */
using EnvironmentHook = std::function<std::optional<std::string>(std::string_view name)>;

/**
 * Reads flags and environment variables; a flag wins.
 *
 * @param problem receives what is wrong, for people.
 */
std::optional<CommandLine> parseCommandLine(std::span<const std::string> arguments,
                                            const EnvironmentHook &environment,
                                            std::string &problem);

/** Returns the help text. */
std::string commandLineHelp();

} // namespace sassafrasyard
