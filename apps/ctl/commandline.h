#pragma once

#include "core/core.h"

#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace sassafrasyard {

/** The parsed command line of sassafrasyardctl. */
struct CommandLine
{
    /** The command and its arguments. */
    std::vector<std::string> arguments;
    /** "IP:port" of the admin API of any entry host. */
    std::string adminAddress;
    /** The operators' bearer token. */
    std::string operatorToken;
    /** The output format: "table" or "json". */
    std::string output = "table";
    /** The file with documents, "-" for the standard input. */
    std::string file = "-";
    /** The change identifier; a random one if empty. */
    std::string change;
    /** The author recorded with the change. */
    std::string author;
    /** The reason recorded with the change. */
    std::string comment;
    /** The revision the change is based on; the current one if empty. */
    std::string base;
    /** The model of a rollout. */
    std::string model;
    /** The new version of a rollout. */
    std::string version;
    /** The backend servers of a rollout in order, separated by commas; all if empty. */
    std::string servers;
    /** The share of backend servers that a rollout changes in parallel, from 0.01 to 1. */
    std::string parallel;
    /** The rollout stops if the time per token grows by this factor. */
    std::string slowdown;
    /** Whether --help was given. */
    bool isHelp = false;
};

/** Reads an environment variable. */
using EnvironmentHook = std::function<std::optional<std::string>(std::string_view name)>;

/**
 * Parses flags and environment variables; a flag overrides its environment variable.
 *
 * @param problem receives a readable error message if nothing is returned.
 */
std::optional<CommandLine> parseCommandLine(std::span<const std::string> arguments,
                                            const EnvironmentHook &environment,
                                            std::string &problem);

/** Returns the text that --help prints. */
std::string commandLineHelp();

} // namespace sassafrasyard
