#pragma once

#include "network/network.h"

#include <string>
#include <string_view>

namespace sassafrasyard {

/** Returns whether two header field names are equal, ignoring case. */
bool isSameField(std::string_view left, std::string_view right);
/** Returns the media type of a message in lower case, without parameters; empty for none. */
std::string mediaTypeOf(const HttpHeaders &headers);

/**
 * Returns the fields without the hop-by-hop fields (RFC 9110, section 7.6.1) and Content-Length.
 */
HttpHeaders withoutHopFields(const HttpHeaders &headers);

} // namespace sassafrasyard
