#include "scenarios/runner/streamcheck.h"

namespace sassafrasyard {

namespace {

constexpr std::uint64_t seedModulus = 1000;
constexpr char separator = '/';

/** Returns the part "server/address/generation" of a position. */
std::string generationOf(const std::string &position)
{
    const std::size_t server = position.find(separator);
    const std::size_t address = position.find(separator, server + 1);
    return position.substr(0, position.find(separator, address + 1));
}

/** Returns the token index in a position, as text. */
std::string indexOf(const std::string &position)
{
    const std::string rest =
            position.substr(std::min(position.size(), generationOf(position).size() + 1));
    return rest.substr(0, rest.find(separator));
}

} // namespace

std::string expectedToken(std::uint64_t seed, std::uint64_t index)
{
    return " w" + std::to_string(seed % seedModulus) + "." + std::to_string(index);
}

std::string findTokenFault(const StreamRecord &record, std::uint64_t seed)
{
    std::uint64_t expectedIndex = 0;
    for (const ReceivedToken &token : record.tokens) {
        const std::string label = "token " + std::to_string(expectedIndex);
        if (token.index != expectedIndex)
            return label + " has the index " + std::to_string(token.index);
        if (token.text != expectedToken(seed, expectedIndex))
            return label + " is \"" + token.text + "\"";
        if (indexOf(token.position) != std::to_string(expectedIndex))
            return label + " has the position " + token.position;
        if (generationOf(token.position) != generationOf(record.tokens.front().position))
            return label + " is from the generation " + generationOf(token.position);
        ++expectedIndex;
    }
    return "";
}

} // namespace sassafrasyard
