#pragma once

#include <compare>
#include <functional>
#include <string>
#include <utility>

namespace sassafrasyard {

/**
 * A strongly typed text identifier. Identifiers of different kinds don't convert to each other.
 *
 * @tparam Tag an incomplete type that distinguishes the kinds.
 */
template <typename Tag>
class Identifier
{
public:
    /** Creates an empty identifier. */
    Identifier() = default;

    /** Creates an identifier from its text. */
    explicit Identifier(std::string text)
        : text(std::move(text))
    {
    }

    /** Returns the text of the identifier. */
    const std::string &toString() const { return this->text; }

    /** Returns whether the identifier has no text. */
    bool isEmpty() const { return this->text.empty(); }

    /** Orders identifiers by their text. */
    auto operator<=>(const Identifier &) const = default;

private:
    std::string text;
};

/** Names a client account. */
using ClientAccountName = Identifier<struct ClientAccountTag>;
/** Names a backend server: a model engine or a plain service. */
using BackendServerName = Identifier<struct BackendServerTag>;
/** Names an entry host. */
using HostName = Identifier<struct HostTag>;
/** Names a failure domain. */
using FailureDomainName = Identifier<struct FailureDomainTag>;
/** Names a model. */
using ModelName = Identifier<struct ModelTag>;
/** Names a version of the software of a backend server, not of the model's weights. */
using SoftwareVersion = Identifier<struct SoftwareVersionTag>;
/** Identifies one generation on one engine. */
using GenerationName = Identifier<struct GenerationTag>;
/** Identifies one request within an entry host. */
using RequestName = Identifier<struct RequestTag>;
/** Identifies one run of the daemon on a host; each restart creates a new one. */
using HostIncarnation = Identifier<struct HostIncarnationTag>;

} // namespace sassafrasyard

/** Hashes an identifier by its text. */
template <typename Tag>
struct std::hash<sassafrasyard::Identifier<Tag>>
{
    std::size_t operator()(const sassafrasyard::Identifier<Tag> &identifier) const noexcept
    {
        return std::hash<std::string>()(identifier.toString());
    }
};
