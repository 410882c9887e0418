#pragma once

#include "entry/state/entrystate.h"

#include <string>

namespace sassafrasyard {

/** How long callers may cache the response to GET /v1/addresses, in milliseconds. */
inline constexpr Milliseconds addressLifetime{10000};

/**
 * Returns the response to GET /v1/addresses: the live entry hosts, nearest first.
 *
 * @param clientFailureDomain the caller's failure domain; if empty, this host's is used.
 */
HttpResponse addressResponse(const EntryState &state, const FailureDomainName &clientFailureDomain);

} // namespace sassafrasyard
