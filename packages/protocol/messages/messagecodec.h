#pragma once

#include "protocol/messages/peermessage.h"

#include <optional>
#include <string>
#include <string_view>

namespace sassafrasyard {

/** The version byte of every payload; payloads of other versions are rejected. */
inline constexpr unsigned char protocolVersion = 1;

/** Encodes a message as the payload of a frame. */
std::string encodeMessage(const PeerMessage &message);

/**
 * Decodes the payload of a frame.
 *
 * @param reason receives ProtocolViolation for an unknown version or kind, or a malformed body.
 */
std::optional<PeerMessage> decodeMessage(std::string_view payload, Error &reason);

} // namespace sassafrasyard
