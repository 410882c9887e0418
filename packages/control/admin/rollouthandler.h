#pragma once

#include "control/admin/adminhandler.h"
#include "control/rollouts/rollout.h"
#include "entry/entry.h"
#include "objectstore/objectstore.h"

#include <optional>
#include <string>

namespace sassafrasyard {

/**
 * Handles requests about rollouts, which are stored as one object per model:
 *
 * GET /v1/rollouts, POST /v1/rollouts, POST /v1/rollouts/MODEL/stop and /resume.
 */
class RolloutHandler : public AdminHandler
{
public:
    /** Creates the handler. @param platform must outlive it, as must the state. */
    RolloutHandler(EntryState &state, ObjectClient &platform);
    RolloutHandler(const RolloutHandler &) = delete;
    RolloutHandler &operator=(const RolloutHandler &) = delete;

    boost::asio::awaitable<std::optional<HttpResponse>> handleRequest(
            const HttpRequest &request) override;

private:
    boost::asio::awaitable<HttpResponse> list();
    boost::asio::awaitable<HttpResponse> start(const HttpRequest &request);
    boost::asio::awaitable<HttpResponse> stopOrResume(std::string model, bool isResume);
    boost::asio::awaitable<HttpResponse> write(Rollout rollout, std::uint64_t version);

    EntryState &entry;
    ObjectClient &platform;
};

} // namespace sassafrasyard
