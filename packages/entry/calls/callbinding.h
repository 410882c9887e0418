#pragma once

#include "core/core.h"
#include "entry/positions/positioncodec.h"

#include <optional>
#include <string>
#include <string_view>

namespace sassafrasyard {

/** How long a call binding may be used after it was issued, in milliseconds. */
inline constexpr Milliseconds callBindingLifetime{1800000};

/**
 * Binds a caller's non-idempotent calls to one run of one entry host.
 *
 * The caller receives the binding in the response to GET /v1/addresses and sends it with every
 * attempt at a call.
 */
struct CallBinding
{
    /** The only incarnation that may dispatch the call. */
    HostIncarnation incarnation;
    /** The time of issue, in milliseconds since the Unix epoch. */
    Milliseconds issuedAt{0};
};

/** Formats a binding with its authentication code, as parseCallBinding() reads it. */
std::string formatCallBinding(const CallBinding &binding, const PositionCodec &codec);

/** Parses a binding. @param reason receives InvalidRequest with NotRun if it is not authentic. */
std::optional<CallBinding> parseCallBinding(std::string_view text, const PositionCodec &codec,
                                            Error &reason);

} // namespace sassafrasyard
