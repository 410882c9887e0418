#include "commands.h"

#include "table.h"

#include <nlohmann/json.hpp>

#include <charconv>
#include <fstream>
#include <iostream>
#include <iterator>

namespace sassafrasyard {

using nlohmann::json;

/** A response of the admin API, or the exit code of an error that was printed already. */
struct Commands::Answer
{
    ExitCode code = ExitCode::Done;
    json body;
};

namespace {

using Rows = std::vector<std::vector<std::string>>;

std::string cell(const json &value)
{
    if (value.is_null())
        return "-";
    return value.is_string() ? value.get<std::string>() : value.dump();
}

ExitCode exitCodeFor(const json &error)
{
    const std::string code = error.value("code", "");
    if (error.value("run_state", "") == "outcome_unknown")
        return ExitCode::OutcomeUnknown;
    if (code == "conflict")
        return ExitCode::Conflict;
    return code == "platform_unavailable" ? ExitCode::Unavailable : ExitCode::Refused;
}

std::string adviceFor(ExitCode code, const std::string &change)
{
    switch (code) {
    case ExitCode::Conflict:
        return "Find the conflicting change with 'sassafrasyardctl history', 'diff' or 'rollout "
               "status', then try again.";
    case ExitCode::Unavailable:
        return "Nothing was changed. Running hosts keep their configuration; try again later.";
    case ExitCode::OutcomeUnknown:
        return "Run the same command again with --change=" + change
                + ": it reports whether the change took effect and never applies it twice.";
    default:
        return "See sassafrasyardctl --help.";
    }
}

void printFaults(const json &faults, std::ostream &stream)
{
    for (const json &fault : faults)
        stream << "  " << fault.value("document", "") << " " << fault.value("place", "") << ": "
               << fault.value("problem", "") << "; " << fault.value("remedy", "") << "\n";
}

std::vector<std::string> split(const std::string &text)
{
    std::vector<std::string> items;
    std::size_t begin = 0;
    while (begin < text.size()) {
        const std::size_t end = std::min(text.find(',', begin), text.size());
        if (end > begin)
            items.push_back(text.substr(begin, end - begin));
        begin = end + 1;
    }
    return items;
}

std::string joinDocuments(const json &change)
{
    std::string text;
    for (const json &pair : change.value("documents", json::array()))
        text += (text.empty() ? "" : " ") + pair.at(0).get<std::string>();
    return change.value("elided", false) ? "(many)" : text;
}

} // namespace

Commands::Commands(const CommandLine &line, AdminClient &client, std::ostream &output,
                   std::ostream &errors)
    : line(line)
    , client(client)
    , output(output)
    , errors(errors)
    , change(line.change.empty() ? RandomSource::fromSystem().nextHex() : line.change)
{
}

ExitCode Commands::run()
{
    if (this->line.arguments.empty())
        return this->usage("no command");
    if (this->line.adminAddress.empty() || this->line.operatorToken.empty())
        return this->usage("--admin-address and --operator-token are required");
    const std::string &command = this->line.arguments[0];
    if (command == "validate" || command == "diff")
        return this->compare(command == "diff");
    if (command == "apply")
        return this->apply();
    if (command == "history")
        return this->history();
    if (command == "dump")
        return this->dump();
    if (command == "status")
        return this->status();
    if (command == "addresses")
        return this->addresses();
    if (command == "state")
        return this->state();
    if (command == "drain" || command == "undrain")
        return this->setLeaving(command);
    if (command == "rollout")
        return this->rollout();
    return this->usage("unknown command " + command);
}

ExitCode Commands::compare(bool showsChanges)
{
    const auto documents = this->readDocuments();
    if (!documents)
        return ExitCode::Usage;
    const Answer answer =
            this->ask("POST", "/v1/configuration/diff", "{\"documents\":" + *documents + "}");
    if (answer.code != ExitCode::Done)
        return answer.code;
    const bool isValid = answer.body.value("valid", false);
    if (this->line.output == "json") {
        this->output << answer.body.dump(2) << "\n";
    } else {
        for (const json &change : answer.body.value("changes", json::array())) {
            this->output << change.value("change", "") << " " << change.value("document", "")
                         << "\n";
            if (!showsChanges)
                continue;
            this->output << "  before: " << change["before"].dump() << "\n"
                         << "  after:  " << change["after"].dump() << "\n";
        }
        this->output << (isValid ? "valid" : "INVALID") << " against revision "
                     << answer.body.value("revision", 0ULL) << "\n";
        printFaults(answer.body.value("faults", json::array()), this->output);
    }
    return isValid ? ExitCode::Done : ExitCode::Refused;
}

ExitCode Commands::apply()
{
    const auto documents = this->readDocuments();
    if (!documents)
        return ExitCode::Usage;
    json body;
    body["documents"] = json::parse(*documents, nullptr, false);
    body["change"] = this->change;
    body["author"] = this->line.author;
    body["comment"] = this->line.comment;
    if (!this->line.base.empty()) {
        std::uint64_t base = 0;
        const char *end = this->line.base.data() + this->line.base.size();
        const auto parsed = std::from_chars(this->line.base.data(), end, base);
        if (parsed.ec != std::errc() || parsed.ptr != end)
            return this->usage("--base is not a revision");
        body["base_revision"] = base;
    }
    const Answer answer = this->ask("POST", "/v1/configuration/changes", body.dump());
    if (answer.code != ExitCode::Done)
        return answer.code;
    if (this->line.output == "json")
        this->output << answer.body.dump(2) << "\n";
    else
        this->output << "revision " << answer.body.value("revision", 0ULL)
                     << " is accepted, change " << answer.body.value("change", "")
                     << "; 'sassafrasyardctl status' shows which hosts have applied it\n";
    return ExitCode::Done;
}

ExitCode Commands::history()
{
    const Answer answer = this->ask("GET", "/v1/configuration/history");
    if (answer.code != ExitCode::Done)
        return answer.code;
    if (this->line.output == "json") {
        this->output << answer.body.dump(2) << "\n";
        return ExitCode::Done;
    }
    Rows rows = {{"REVISION", "CHANGE", "AUTHOR", "COMMENT", "DOCUMENTS"}};
    for (const json &change : answer.body.value("changes", json::array()))
        rows.push_back({cell(change["revision"]), cell(change["change"]), cell(change["author"]),
                        cell(change["comment"]), joinDocuments(change)});
    this->output << formatTable(rows);
    return ExitCode::Done;
}

ExitCode Commands::dump()
{
    const Answer answer = this->ask("GET", "/v1/configuration");
    if (answer.code == ExitCode::Done)
        this->output << answer.body.value("documents", json::array()).dump(2) << "\n";
    return answer.code;
}

ExitCode Commands::status()
{
    const Answer answer = this->ask("GET", "/v1/status");
    if (answer.code != ExitCode::Done)
        return answer.code;
    if (this->line.output == "json") {
        this->output << answer.body.dump(2) << "\n";
        return ExitCode::Done;
    }
    Rows rows = {{"HOST", "REGION", "FAILURE DOMAIN", "STATE", "REVISION", ""}};
    for (const json &host : answer.body.value("hosts", json::array()))
        rows.push_back({cell(host["host"]), cell(host["region"]), cell(host["failure_domain"]),
                        cell(host["state"]), cell(host["revision"]),
                        host.value("lagging", false) ? "LAGGING" : ""});
    this->output << formatTable(rows);
    return ExitCode::Done;
}

ExitCode Commands::addresses()
{
    const Answer answer = this->ask("GET", "/v1/addresses");
    if (answer.code != ExitCode::Done)
        return answer.code;
    if (this->line.output == "json") {
        this->output << answer.body.dump(2) << "\n";
        return ExitCode::Done;
    }
    Rows rows = {{"HOST", "ADDRESS", "FAILURE DOMAIN"}};
    for (const json &host : answer.body.value("addresses", json::array()))
        rows.push_back({cell(host["host"]), cell(host["address"]), cell(host["failure_domain"])});
    this->output << formatTable(rows);
    return ExitCode::Done;
}

ExitCode Commands::state()
{
    const Answer answer = this->ask("GET", "/v1/dump");
    if (answer.code == ExitCode::Done)
        this->output << answer.body.dump(2) << "\n";
    return answer.code;
}

ExitCode Commands::setLeaving(const std::string &action)
{
    if (this->line.arguments.size() != 2)
        return this->usage(action + " needs the name of one backend server");
    json body;
    body["change"] = this->change;
    body["author"] = this->line.author;
    if (!this->line.comment.empty())
        body["comment"] = this->line.comment;
    const Answer answer = this->ask(
            "POST", "/v1/backend-servers/" + percentEncode(this->line.arguments[1]) + "/" + action,
            body.dump());
    if (answer.code != ExitCode::Done)
        return answer.code;
    if (this->line.output == "json")
        this->output << answer.body.dump(2) << "\n";
    else
        this->output << action << " of " << this->line.arguments[1] << " is accepted as revision "
                     << answer.body.value("revision", 0ULL) << "\n";
    return ExitCode::Done;
}

ExitCode Commands::rollout()
{
    const std::string action = this->line.arguments.size() > 1 ? this->line.arguments[1] : "";
    if (action == "start")
        return this->startRollout();
    if (action == "status")
        return this->showRollouts();
    if (action == "stop" || action == "resume")
        return this->actOnRollout(action);
    return this->usage("rollout needs start, status, stop or resume");
}

ExitCode Commands::startRollout()
{
    if (this->line.model.empty() || this->line.version.empty())
        return this->usage("rollout start needs --model and --version");
    json body;
    body["model"] = this->line.model;
    body["version"] = this->line.version;
    body["author"] = this->line.author;
    body["servers"] = split(this->line.servers);
    if (!this->line.parallel.empty())
        body["parallel_share"] = std::strtod(this->line.parallel.c_str(), nullptr);
    if (!this->line.slowdown.empty())
        body["maximum_slowdown"] = std::strtod(this->line.slowdown.c_str(), nullptr);
    const Answer answer = this->ask("POST", "/v1/rollouts", body.dump());
    if (answer.code != ExitCode::Done)
        return answer.code;
    if (this->line.output == "json")
        this->output << answer.body.dump(2) << "\n";
    else
        this->output << "rollout " << answer.body.value("name", "")
                     << " has started; follow it with 'sassafrasyardctl rollout status "
                     << answer.body.value("name", "") << "'\n";
    return ExitCode::Done;
}

ExitCode Commands::showRollouts()
{
    const Answer answer = this->ask("GET", "/v1/rollouts");
    if (answer.code != ExitCode::Done)
        return answer.code;
    const std::string wanted = this->line.arguments.size() > 2 ? this->line.arguments[2] : "";
    json shown = json::array();
    for (const json &item : answer.body.value("rollouts", json::array())) {
        if (wanted.empty() || item.value("name", "") == wanted)
            shown.push_back(item);
    }
    if (this->line.output == "json") {
        this->output << shown.dump(2) << "\n";
        return ExitCode::Done;
    }
    Rows rows = {{"ROLLOUT", "MODEL", "VERSION", "STATE", "SERVER", "STEP", "WHY"}};
    for (const json &item : shown) {
        rows.push_back({cell(item["name"]), cell(item["model"]), cell(item["version"]),
                        cell(item["state"]), "", "", item.value("reason", "")});
        if (wanted.empty())
            continue;
        for (const json &server : item.value("servers", json::array()))
            rows.push_back({"", "", "", "", cell(server["name"]), cell(server["phase"]), ""});
    }
    this->output << formatTable(rows);
    return ExitCode::Done;
}

ExitCode Commands::actOnRollout(const std::string &action)
{
    if (this->line.arguments.size() != 3)
        return this->usage("rollout " + action + " needs the name of one rollout");
    const Answer answer = this->ask(
            "POST", "/v1/rollouts/" + percentEncode(this->line.arguments[2]) + "/" + action, "{}");
    if (answer.code == ExitCode::Done)
        this->output << "rollout " << this->line.arguments[2] << ": " << action << " is recorded\n";
    return answer.code;
}

Commands::Answer Commands::ask(const std::string &method, const std::string &target,
                               const std::string &body)
{
    Answer answer;
    Error reason;
    const auto response = this->client.send(method, target, body, reason);
    if (!response) {
        answer.code = reason.runState == RunState::NotRun || method == "GET"
                ? ExitCode::Unavailable
                : ExitCode::OutcomeUnknown;
        this->errors << "no response from " << this->line.adminAddress << ": " << reason.detail
                     << "\nThe admin API of any other entry host can be used instead. "
                     << adviceFor(answer.code, this->change) << "\n";
        return answer;
    }
    answer.body = json::parse(response->body, nullptr, false);
    if (response->status == 200 && answer.body.is_object())
        return answer;
    if (!answer.body.is_object())
        answer.body = json::object();
    answer.code = exitCodeFor(answer.body);
    this->errors << answer.body.value("code", "unexpected response") << ": "
                 << answer.body.value("detail", "") << "\n";
    printFaults(answer.body.value("faults", json::array()), this->errors);
    this->errors << adviceFor(answer.code, this->change) << "\n";
    return answer;
}

ExitCode Commands::usage(const std::string &problem)
{
    this->errors << problem << "\nSee sassafrasyardctl --help\n";
    return ExitCode::Usage;
}

std::optional<std::string> Commands::readDocuments()
{
    std::string text;
    if (this->line.file == "-") {
        text.assign(std::istreambuf_iterator<char>(std::cin), {});
    } else {
        std::ifstream file(this->line.file);
        if (!file) {
            this->errors << "cannot read " << this->line.file << "\n";
            return std::nullopt;
        }
        text.assign(std::istreambuf_iterator<char>(file), {});
    }
    try {
        const json documents = json::parse(text);
        return documents.is_array() ? documents.dump() : json::array({documents}).dump();
    } catch (const json::exception &exception) {
        this->errors << this->line.file << " is not JSON: " << exception.what() << "\n";
        return std::nullopt;
    }
}

} // namespace sassafrasyard
