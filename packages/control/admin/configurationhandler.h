#pragma once

#include "control/admin/adminhandler.h"
#include "control/configuration/configurationstore.h"
#include "entry/entry.h"

#include <optional>
#include <string>

namespace sassafrasyard {

/**
 * Handles requests about the configuration:
 *
 * GET /v1/configuration (documents), GET /v1/configuration/history,
 * POST /v1/configuration/validate, /v1/configuration/diff and /v1/configuration/changes, and
 * POST /v1/backend-servers/NAME/drain and /undrain, which change the server's document.
 */
class ConfigurationHandler : public AdminHandler
{
public:
    /** Creates the handler. @param store must outlive it, as must the state. */
    ConfigurationHandler(EntryState &state, ConfigurationStore &store);
    ConfigurationHandler(const ConfigurationHandler &) = delete;
    ConfigurationHandler &operator=(const ConfigurationHandler &) = delete;

    boost::asio::awaitable<std::optional<HttpResponse>> handleRequest(
            const HttpRequest &request) override;

private:
    boost::asio::awaitable<HttpResponse> documents();
    boost::asio::awaitable<HttpResponse> history();
    boost::asio::awaitable<HttpResponse> validateAndDiff(const HttpRequest &request);
    boost::asio::awaitable<HttpResponse> apply(const HttpRequest &request);
    boost::asio::awaitable<HttpResponse> setLeaving(const HttpRequest &request, std::string server,
                                                    bool isLeaving);
    boost::asio::awaitable<HttpResponse> accept(ChangeRequest change);

    EntryState &entry;
    ConfigurationStore &store;
};

} // namespace sassafrasyard
