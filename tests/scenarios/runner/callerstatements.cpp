#include "scenarios/runner/scenario.h"
#include "scenarios/runner/scenarioerror.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace sassafrasyard {

using nlohmann::json;

namespace {

std::string apiKeyFor(const std::string &account)
{
    return "key-" + account;
}

/** Returns a position, unchanged ("own") or forged as "changed-mac" or "changed-index" says. */
std::string changedPosition(std::string position, const std::string &change)
{
    if (change == "own")
        return position;
    if (change == "changed-mac") {
        position.back() = position.back() == '0' ? '1' : '0';
        return position;
    }
    if (change != "changed-index")
        throw ScenarioError(ScenarioErrorCode::InvalidArgument, "unknown position: " + change);
    const std::size_t server = position.find('/');
    const std::size_t address = position.find('/', server + 1);
    const std::size_t generation = position.find('/', address + 1);
    const std::size_t index = position.find('/', generation + 1);
    const std::uint64_t number =
            parseNumber(std::string_view(position).substr(generation + 1, index - generation - 1));
    return position.substr(0, generation + 1) + std::to_string(number + 1) + position.substr(index);
}

std::string numberedName(const std::string &name, std::uint64_t index, std::uint64_t count)
{
    return count == 1 ? name : name + "." + std::to_string(index);
}

} // namespace

void Scenario::runStream(const Statement &statement)
{
    const std::uint64_t count = statement.numberOption("count", 1);
    const Endpoint endpoint = this->fleet.endpoint(statement.option("via", ""));
    for (std::uint64_t index = 1; index <= count; ++index) {
        const std::string name = numberedName(statement.word(1), index, count);
        this->requireUnusedName(name);
        json body;
        body["model"] = statement.option("model", "plan");
        body["prompt"] = statement.option("prompt", "Scenario");
        body["max_tokens"] = statement.numberOption("length", 20);
        body["seed"] = statement.numberOption("seed", 1) + index - 1;
        body["stream"] = true;
        HttpRequest request;
        request.method = "POST";
        request.target = "/v1/completions";
        request.headers.emplace_back("Authorization",
                                     "Bearer " + apiKeyFor(statement.option("account", "first")));
        request.body = body.dump();
        auto caller = std::make_shared<StreamCaller>(this->context, std::move(request));
        this->streams[name] = caller;
        caller->open(endpoint, "");
    }
}

void Scenario::runResume(const Statement &statement)
{
    StreamCaller &known = this->stream(statement.word(1));
    const std::string position = known.lastPosition();
    if (position.empty()) {
        throw ScenarioError(ScenarioErrorCode::InvalidArgument,
                            statement.word(1) + " has received no token");
    }
    const std::string sent = changedPosition(position, statement.option("position", "own"));
    const Endpoint endpoint = this->fleet.endpoint(statement.option("via", ""));
    if (!statement.hasOption("as")) {
        known.open(endpoint, sent);
        return;
    }
    const std::string name = statement.option("as", "");
    this->requireUnusedName(name);
    HttpRequest request = known.request();
    if (statement.hasOption("account"))
        request.headers[0].second = "Bearer " + apiKeyFor(statement.option("account", ""));
    if (statement.hasOption("prompt")) {
        json body = json::parse(request.body);
        body["prompt"] = statement.option("prompt", "");
        request.body = body.dump();
    }
    auto caller = std::make_shared<StreamCaller>(this->context, std::move(request));
    this->streams[name] = caller;
    caller->open(endpoint, sent);
}

void Scenario::runCall(const Statement &statement)
{
    const std::string &method = statement.word(2);
    const bool isPost = method == "post";
    if (!isPost && method != "get")
        throw ScenarioError(ScenarioErrorCode::InvalidArgument,
                            "the method of a call must be get or post");
    const std::string via = statement.option("via", "");
    const std::string binding =
            isPost ? this->incarnationOf(statement.option("bind", via), via) : std::string();
    const std::uint64_t count = statement.numberOption("count", 1);
    for (std::uint64_t index = 1; index <= count; ++index) {
        const std::string name = numberedName(statement.word(1), index, count);
        this->requireUnusedName(name);
        HttpRequest request;
        request.method = isPost ? "POST" : "GET";
        request.target = "/v1/services/" + statement.option("service", "stock")
                + statement.option("path", "/orders");
        request.headers.emplace_back("Authorization",
                                     "Bearer " + apiKeyFor(statement.option("account", "first")));
        if (isPost) {
            request.headers.emplace_back("Sassafrasyard-Incarnation", binding);
            request.headers.emplace_back(
                    "Idempotency-Key",
                    numberedName(statement.option("key", statement.word(1)), index, count));
            request.body = statement.option("body", "{}");
        }
        auto caller = std::make_shared<ServiceCaller>(this->context, std::move(request));
        this->calls[name] = caller;
        caller->send(this->fleet.endpoint(via));
    }
}

void Scenario::runRetry(const Statement &statement)
{
    HttpRequest request = this->call(statement.word(1)).request();
    const std::string name = statement.option("as", "");
    this->requireUnusedName(name);
    request.body = statement.option("body", request.body);
    if (statement.hasOption("key")) {
        std::erase_if(request.headers,
                      [](const auto &header) { return header.first == "Idempotency-Key"; });
        request.headers.emplace_back("Idempotency-Key", statement.option("key", ""));
    }
    auto caller = std::make_shared<ServiceCaller>(this->context, std::move(request));
    this->calls[name] = caller;
    const Milliseconds retryTimeout(1000 * std::stoll(statement.option("patience-s", "0")));
    caller->sendWithRetries(this->fleet.endpoint(statement.option("via", "")), retryTimeout);
}

std::string Scenario::incarnationOf(const std::string &host, const std::string &via)
{
    HttpRequest request;
    request.target = "/v1/addresses";
    request.headers.emplace_back("Authorization", "Bearer " + apiKeyFor("first"));
    const HttpResponse response =
            this->sendRequest(this->fleet.endpoint(via), request, "addresses");
    const json body = json::parse(response.body);
    for (const json &entry : body["addresses"]) {
        if (entry["host"] == host)
            return entry["incarnation"];
    }
    throw ScenarioError(ScenarioErrorCode::RequestFailed, host + " is not in the address answer");
}

} // namespace sassafrasyard
