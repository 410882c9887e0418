#include "configuration/revisions/snapshot.h"

#include "configuration/revisions/changerecordjson.h"

#include <array>

namespace sassafrasyard {

using nlohmann::json;

namespace {

/** With 9,600 documents of 400 bytes, a chunk has 60 KB; the platform's limit is 1 MB. */
constexpr std::size_t chunkCount = 64;

/** Uses FNV-1a, because every host must assign documents to the same chunks. */
std::size_t chunkIndex(const DocumentKey &key)
{
    std::uint64_t hash = 14695981039346656037ULL;
    for (const char character : key.toString())
        hash = (hash ^ static_cast<unsigned char>(character)) * 1099511628211ULL;
    return hash % chunkCount;
}

Error malformedSnapshot(const std::string &what)
{
    return {ErrorCode::ConfigurationInvalid,
            RunState::NotRun,
            "malformed snapshot in the platform: " + what,
            {}};
}

} // namespace

Snapshot makeSnapshot(const DocumentSet &documents)
{
    std::array<json, chunkCount> chunks;
    for (const auto &[key, document] : documents) {
        json &chunk = chunks[chunkIndex(key)];
        chunk[key.toString()] = json::array({document.revision, *document.body});
    }
    Snapshot snapshot;
    json index = json::array();
    for (const json &chunk : chunks) {
        if (chunk.is_null())
            continue;
        std::string text = chunk.dump();
        std::string digest = sha256Hex(text);
        index.push_back(digest);
        snapshot.objects.emplace_back(chunkObjectName(digest), std::move(text));
    }
    std::string text = index.dump();
    snapshot.digest = sha256Hex(text);
    snapshot.objects.emplace_back(snapshotObjectName(snapshot.digest), std::move(text));
    return snapshot;
}

std::optional<std::vector<std::string>> parseSnapshotIndex(std::string_view text, Error &reason)
{
    try {
        return json::parse(text).get<std::vector<std::string>>();
    } catch (const json::exception &exception) {
        reason = malformedSnapshot(exception.what());
        return std::nullopt;
    }
}

bool addChunk(std::string_view text, DocumentSet &documents, Error &reason)
{
    try {
        const json chunk = json::parse(text);
        for (const auto &[name, entry] : chunk.items()) {
            documents[documentKeyFromJson(name)] = makeStoredDocument(
                    entry.at(1).get<std::string>(), entry.at(0).get<std::uint64_t>());
        }
        return true;
    } catch (const json::exception &exception) {
        reason = malformedSnapshot(exception.what());
        return false;
    }
}

} // namespace sassafrasyard
