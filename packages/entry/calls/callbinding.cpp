#include "entry/calls/callbinding.h"

#include <charconv>

namespace sassafrasyard {

std::string formatCallBinding(const CallBinding &binding, const PositionCodec &codec)
{
    std::string text =
            binding.incarnation.toString() + "." + std::to_string(binding.issuedAt.count());
    text += "." + codec.authenticationCode("binding/" + text);
    return text;
}

std::optional<CallBinding> parseCallBinding(std::string_view text, const PositionCodec &codec,
                                            Error &reason)
{
    const std::size_t first = text.find('.');
    const std::size_t last = text.rfind('.');
    if (first == std::string_view::npos || first == last
        || codec.authenticationCode("binding/" + std::string(text.substr(0, last)))
                != text.substr(last + 1)) {
        reason = {ErrorCode::InvalidRequest,
                  RunState::NotRun,
                  "the header Sassafrasyard-Incarnation was not issued by this system",
                  {}};
        return std::nullopt;
    }
    CallBinding binding;
    binding.incarnation = HostIncarnation(std::string(text.substr(0, first)));
    std::int64_t issuedAt = 0;
    std::from_chars(text.data() + first + 1, text.data() + last, issuedAt);
    binding.issuedAt = Milliseconds(issuedAt);
    return binding;
}

} // namespace sassafrasyard
