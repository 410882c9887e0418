#pragma once

#include "adminclient.h"
#include "commandline.h"

#include <ostream>

namespace sassafrasyard {

/** The exit codes of sassafrasyardctl. */
enum class ExitCode : int {
    Done = 0,
    Refused = 1,
    Usage = 2,
    Conflict = 3,
    Unavailable = 4,
    OutcomeUnknown = 5,
};

/** Executes one command through the admin API and prints the result. */
class Commands
{
public:
    /** Creates the commands. @param output receives results. @param errors receives error texts. */
    Commands(const CommandLine &line, AdminClient &client, std::ostream &output,
             std::ostream &errors);
    Commands(const Commands &) = delete;
    Commands &operator=(const Commands &) = delete;

    /** Runs the command and returns the process's exit code. */
    ExitCode run();

private:
    struct Answer;

    ExitCode compare(bool showsChanges);
    ExitCode apply();
    ExitCode history();
    ExitCode dump();
    ExitCode status();
    ExitCode addresses();
    ExitCode state();
    ExitCode setLeaving(const std::string &action);
    ExitCode rollout();
    ExitCode startRollout();
    ExitCode showRollouts();
    ExitCode actOnRollout(const std::string &action);

    Answer ask(const std::string &method, const std::string &target, const std::string &body = {});
    ExitCode usage(const std::string &problem);
    std::optional<std::string> readDocuments();
    const CommandLine &line;
    AdminClient &client;
    std::ostream &output;
    std::ostream &errors;
    const std::string change;
};

} // namespace sassafrasyard
