#include "configuration/revisions/revisionhead.h"

#include "configuration/revisions/changerecordjson.h"

#include <algorithm>

namespace sassafrasyard {

using nlohmann::json;

std::string documentObjectName(const std::string &digest)
{
    return "configuration/documents/" + digest;
}

std::string snapshotObjectName(const std::string &digest)
{
    return "configuration/snapshots/" + digest;
}

std::string chunkObjectName(const std::string &digest)
{
    return "configuration/chunks/" + digest;
}

const ChangeRecord *RevisionHead::findChange(std::string_view identifier) const
{
    const auto found = std::find_if(
            this->changes.begin(), this->changes.end(),
            [&](const ChangeRecord &record) { return record.identifier == identifier; });
    return found == this->changes.end() ? nullptr : &*found;
}

bool RevisionHead::coversChangesAfter(std::uint64_t baseRevision) const
{
    if (baseRevision >= this->revision)
        return true;
    if (this->changes.empty() || this->changes.front().revision > baseRevision + 1)
        return false;
    return std::none_of(this->changes.begin(), this->changes.end(), [&](const auto &record) {
        return record.revision > baseRevision && record.isElided;
    });
}

json toJson(const ChangeRecord &record)
{
    json documents = json::array();
    for (const DocumentChange &change : record.documents)
        documents.push_back(json::array({change.key.toString(), change.digest}));
    json item;
    item["revision"] = record.revision;
    item["change"] = record.identifier;
    item["content"] = record.contentDigest;
    item["author"] = record.author;
    item["comment"] = record.comment;
    item["accepted_at_ms"] = record.acceptedAt.count();
    item["documents"] = std::move(documents);
    if (record.isElided)
        item["elided"] = true;
    return item;
}

DocumentKey documentKeyFromJson(const json &item)
{
    const auto key = parseDocumentKey(item.get<std::string>());
    if (!key)
        throw json::other_error::create(501, "malformed document key", &item);
    return *key;
}

ChangeRecord changeRecordFromJson(const json &item)
{
    ChangeRecord record;
    record.revision = item.at("revision").get<std::uint64_t>();
    record.identifier = item.at("change").get<std::string>();
    record.contentDigest = item.at("content").get<std::string>();
    record.author = item.at("author").get<std::string>();
    record.comment = item.at("comment").get<std::string>();
    record.acceptedAt = Milliseconds(item.at("accepted_at_ms").get<std::int64_t>());
    record.isElided = item.value("elided", false);
    for (const json &pair : item.at("documents"))
        record.documents.push_back(
                {documentKeyFromJson(pair.at(0)), pair.at(1).get<std::string>()});
    return record;
}

std::string formatChangeRecords(const std::vector<ChangeRecord> &records)
{
    json list = json::array();
    for (const ChangeRecord &record : records)
        list.push_back(toJson(record));
    return list.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string formatHead(const RevisionHead &head)
{
    json text;
    text["revision"] = head.revision;
    text["snapshot"] = head.snapshot;
    text["snapshot_revision"] = head.snapshotRevision;
    text["changes"] = json::array();
    for (const ChangeRecord &record : head.changes)
        text["changes"].push_back(toJson(record));
    return text.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<RevisionHead> parseHead(std::string_view text, Error &reason)
{
    try {
        const json item = json::parse(text);
        RevisionHead head;
        head.revision = item.at("revision").get<std::uint64_t>();
        head.snapshot = item.at("snapshot").get<std::string>();
        head.snapshotRevision = item.at("snapshot_revision").get<std::uint64_t>();
        for (const json &record : item.at("changes"))
            head.changes.push_back(changeRecordFromJson(record));
        std::uint64_t expected = head.revision + 1 - head.changes.size();
        for (const ChangeRecord &record : head.changes) {
            if (record.revision != expected++)
                throw json::other_error::create(501, "the changes have a gap", &item);
        }
        return head;
    } catch (const json::exception &exception) {
        reason = {ErrorCode::ConfigurationInvalid,
                  RunState::NotRun,
                  std::string("malformed configuration head: ") + exception.what(),
                  {}};
        return std::nullopt;
    }
}

} // namespace sassafrasyard
