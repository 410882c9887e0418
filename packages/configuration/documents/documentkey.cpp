#include "configuration/documents/documentkey.h"

#include <algorithm>
#include <array>
#include <cctype>

namespace sassafrasyard {

namespace {

constexpr std::size_t maximumNameLength = 128;
constexpr std::array kinds = {DocumentKind::Template, DocumentKind::Account, DocumentKind::Model,
                              DocumentKind::Server};

bool isNameCharacter(char character)
{
    return std::isalnum(static_cast<unsigned char>(character)) != 0 || character == '.'
            || character == '-' || character == '_';
}

} // namespace

std::string_view toString(DocumentKind kind)
{
    switch (kind) {
    case DocumentKind::Template:
        return "template";
    case DocumentKind::Account:
        return "account";
    case DocumentKind::Model:
        return "model";
    case DocumentKind::Server:
        return "server";
    }
    return "account";
}

std::string DocumentKey::toString() const
{
    return std::string(sassafrasyard::toString(this->kind)) + "/" + this->name;
}

std::optional<DocumentKey> parseDocumentKey(std::string_view text)
{
    const std::size_t slash = text.find('/');
    if (slash == std::string_view::npos)
        return std::nullopt;
    const std::string_view name = text.substr(slash + 1);
    if (name.empty() || name.size() > maximumNameLength
        || !std::all_of(name.begin(), name.end(), isNameCharacter)) {
        return std::nullopt;
    }
    for (const DocumentKind kind : kinds) {
        if (toString(kind) == text.substr(0, slash))
            return DocumentKey{kind, std::string(name)};
    }
    return std::nullopt;
}

} // namespace sassafrasyard
