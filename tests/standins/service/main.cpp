#include "standins/common/standinserver.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

#include <map>

using namespace sassafrasyard;
namespace net = boost::asio;

namespace {

/** A plain service that counts the runs of each idempotency key. Flag: work-ms per call. */
class CountingService
{
public:
    explicit CountingService(const StandinFlags &flags)
        : workTime(static_cast<int>(flags.number("work-ms", 0)))
    {
    }
    CountingService(const CountingService &) = delete;
    CountingService &operator=(const CountingService &) = delete;

    net::awaitable<void> handle(const HttpRequest &request, HttpResponder &responder)
    {
        if (request.path() == "/runs") {
            co_await responder.send(jsonResponse(200, nlohmann::json(this->runCounts).dump()));
            co_return;
        }
        if (request.path() == "/mode") {
            this->mode = request.body;
            co_await responder.send(jsonResponse(200, "{}"));
            co_return;
        }
        if (this->mode == "refuse") {
            HttpResponse refusal = jsonResponse(409, "{}");
            refusal.headers.emplace_back("Not-Run", "true");
            co_await responder.send(std::move(refusal));
            co_return;
        }
        const std::string key = findHeader(request.headers, "Idempotency-Key").value_or("");
        const int run = ++this->runCounts[key];
        std::chrono::milliseconds duration = this->workTime;
        if (this->mode.starts_with("slow="))
            duration = std::chrono::milliseconds(std::stoi(this->mode.substr(5)));
        if (duration.count() > 0) {
            net::steady_timer timer(co_await net::this_coro::executor);
            timer.expires_after(duration);
            co_await timer.async_wait(net::use_awaitable);
        }
        nlohmann::json body;
        body["key"] = key;
        body["run"] = run;
        co_await responder.send(jsonResponse(200, body.dump()));
    }

private:
    std::chrono::milliseconds workTime;
    std::map<std::string, int> runCounts;
    std::string mode;
};

} // namespace

int main(int argc, char **argv)
{
    const StandinFlags flags(argc, argv);
    net::io_context context(1);
    CountingService service(flags);
    return serveStandin(context, flags,
                        [&service](const HttpRequest &request, HttpResponder &responder) {
                            return service.handle(request, responder);
                        });
}
