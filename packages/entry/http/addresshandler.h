#pragma once

#include "entry/state/entrystate.h"

#include <string>

namespace sassafrasyard {

/** How long callers keep an address answer, in milliseconds. */
inline constexpr Milliseconds addressLifetime{10000};

/**
 * Returns the answer to GET /v1/addresses: the entry hosts to use, nearest failure domain first.
 *
 * @param clientFailureDomain the caller's failure domain, or empty for this host's.
 */
HttpResponse addressResponse(const EntryState &state, const FailureDomainName &clientFailureDomain);

} // namespace sassafrasyard
