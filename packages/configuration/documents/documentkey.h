#pragma once

#include <compare>
#include <optional>
#include <string>
#include <string_view>

namespace sassafrasyard {

/** What a configuration document describes. */
enum class DocumentKind {
    Template,
    Account,
    Model,
    Server,
};

/** Returns the kind's name in keys: "template", "account", "model" or "server". */
std::string_view toString(DocumentKind kind);

/** Identifies a configuration document. */
struct DocumentKey
{
    /** What the document describes. */
    DocumentKind kind = DocumentKind::Account;
    /** The name, unique among documents of the kind. */
    std::string name;

    /** Returns the key as text, such as "account/demo". */
    std::string toString() const;

    /** Orders keys by kind, then name. */
    auto operator<=>(const DocumentKey &) const = default;
};

/**
 * Parses a key such as "account/demo".
 *
 * A name has 1 to 128 letters, digits, dots, hyphens and underscores.
 * @return nothing if the kind is unknown or the name is malformed.
 */
std::optional<DocumentKey> parseDocumentKey(std::string_view text);

} // namespace sassafrasyard
