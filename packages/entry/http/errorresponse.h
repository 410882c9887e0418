#pragma once

#include "core/core.h"
#include "network/network.h"

#include <string>

namespace sassafrasyard {

/** Returns an error as a JSON object with code, run_state, detail and retry_after_ms. */
std::string formatError(const Error &error);

/** Returns the HTTP response for an error; Retry-After is rounded up to whole seconds. */
HttpResponse errorResponse(const Error &error);

} // namespace sassafrasyard
