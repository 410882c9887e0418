#include "../../apps/ctl/commands.h"

#include <catch2/catch.hpp>

#include <boost/asio/executor_work_guard.hpp>

#include <sstream>
#include <thread>

using namespace sassafrasyard;

namespace {

/** An admin API that always returns the same response and records the last request. */
class FakeAdminApi
{
public:
    FakeAdminApi(int status, std::string body)
        : context(1)
        , guard(boost::asio::make_work_guard(context))
        , server(
                  context, HttpServerOptions(),
                  [this, status, body](const HttpRequest &request, HttpResponder &responder) {
                      this->lastTarget = request.target;
                      this->lastBody = request.body;
                      HttpResponse response;
                      response.status = status;
                      response.body = body;
                      return this->send(responder, response);
                  },
                  [](const Error &) { return HttpResponse(); })
    {
        Error reason;
        const auto endpoint = this->server.listen(Endpoint{"127.0.0.1", 0}, reason);
        this->address = endpoint ? endpoint->toString() : "";
        this->thread = std::jthread([this] { this->context.run(); });
    }

    ~FakeAdminApi() { this->context.stop(); }

    std::string address;
    std::string lastTarget;
    std::string lastBody;

private:
    static boost::asio::awaitable<void> send(HttpResponder &responder, HttpResponse response)
    {
        co_await responder.send(std::move(response));
    }

    boost::asio::io_context context;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> guard;
    HttpServer server;
    std::jthread thread;
};

struct RunResult
{
    ExitCode code;
    std::string output;
    std::string errors;
};

RunResult runCtl(const std::string &address, std::vector<std::string> arguments)
{
    arguments.push_back("--admin-address=" + address);
    std::string usageError;
    const auto line = parseCommandLine(
            arguments,
            [](std::string_view name) -> std::optional<std::string> {
                if (name == "SASSAFRASYARD_OPERATOR_TOKEN")
                    return "token-from-environment";
                return std::nullopt;
            },
            usageError);
    if (!line)
        return {ExitCode::Usage, "", usageError};
    AdminClient client(line->adminAddress, line->operatorToken);
    std::ostringstream output;
    std::ostringstream errors;
    Commands commands(*line, client, output, errors);
    const ExitCode code = commands.run();
    return {code, output.str(), errors.str()};
}

std::string errorBody(const std::string &code, const std::string &state)
{
    return R"({"code":")" + code + R"(","run_state":")" + state + R"(","detail":"why"})";
}

} // namespace

// Guards against exit codes with which scripts mistake a conflict or an unknown outcome for a
// failure.
TEST_CASE("Exit codes distinguish failures and error messages say what to do next", "[ctl]")
{
    const auto drain = [](int status, const std::string &body) {
        const FakeAdminApi api(status, body);
        return runCtl(api.address, {"drain", "plan-1", "--change=c7"});
    };
    REQUIRE(drain(200, R"({"revision":9})").code == ExitCode::Done);
    REQUIRE(drain(404, errorBody("not_found", "not_run")).code == ExitCode::Refused);
    const auto conflict = drain(409, errorBody("conflict", "not_run"));
    REQUIRE(conflict.code == ExitCode::Conflict);
    REQUIRE(conflict.errors.find("history") != std::string::npos);
    const auto down = drain(503, errorBody("platform_unavailable", "not_run"));
    REQUIRE(down.code == ExitCode::Unavailable);
    const auto unknown = drain(503, errorBody("platform_outcome_unknown", "outcome_unknown"));
    REQUIRE(unknown.code == ExitCode::OutcomeUnknown);
    REQUIRE(unknown.errors.find("--change=c7") != std::string::npos);
    REQUIRE(runCtl("127.0.0.1:1", {"status"}).code == ExitCode::Unavailable);
}

// Guards against requests that are sent for an invalid command line, and against secrets in errors.
TEST_CASE("An invalid command line is rejected before a request is sent", "[ctl]")
{
    const FakeAdminApi api(200, "{}");
    REQUIRE(runCtl(api.address, {}).code == ExitCode::Usage);
    REQUIRE(runCtl(api.address, {"drain"}).code == ExitCode::Usage);
    REQUIRE(runCtl(api.address, {"frobnicate"}).code == ExitCode::Usage);
    REQUIRE(runCtl(api.address, {"status", "--output=xml"}).code == ExitCode::Usage);
    REQUIRE(runCtl(api.address, {"apply", "--file=/nonexistent"}).code == ExitCode::Usage);
    const auto misspelt = runCtl(api.address, {"status", "--operator-tokn=hush"});
    REQUIRE(misspelt.code == ExitCode::Usage);
    REQUIRE(misspelt.errors.find("hush") == std::string::npos);
    REQUIRE(api.lastTarget.empty());
}

// Guards against a status output in which lagging hosts cannot be recognized.
TEST_CASE("Status marks lagging hosts, as a table and as JSON", "[ctl]")
{
    const FakeAdminApi api(200, R"({"revision":4,"hosts":[
        {"host":"a","region":"r","failure_domain":"d","state":"alive","revision":4,"lagging":false},
        {"host":"b","region":"r","failure_domain":"d","state":"alive","revision":3,"lagging":true}]})");
    const auto table = runCtl(api.address, {"status"});
    REQUIRE(table.output.find("b     r       d               alive  3         LAGGING")
            != std::string::npos);
    REQUIRE(table.output.find("a     r       d               alive  4         \n")
            != std::string::npos);
    const auto text = runCtl(api.address, {"status", "--output=json"});
    REQUIRE(text.output.find("\"lagging\": true") != std::string::npos);
}
