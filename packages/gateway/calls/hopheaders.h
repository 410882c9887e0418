#pragma once

#include "network/network.h"

#include <string_view>

namespace sassafrasyard {

/** Returns whether two header field names are the same. */
bool isSameField(std::string_view left, std::string_view right);

/** Returns the fields without those that concern only one connection (RFC 9110, section 7.6.1). */
HttpHeaders withoutHopFields(const HttpHeaders &headers);

} // namespace sassafrasyard
