#include "configuration/revisions/peertransfer.h"

#include "configuration/revisions/changerecordjson.h"

namespace sassafrasyard {

using nlohmann::json;

namespace {

/** In bytes; keeps a reply well below the maximum frame size of 4 MB. */
constexpr std::size_t maximumPageBytes = 1U << 20U;

RevisionHead makeHead(const ConfigurationSource &source)
{
    RevisionHead head;
    head.revision = source.revision;
    head.changes = source.changes;
    return head;
}

void appendDocument(json &page, const DocumentKey &key, const DocumentSet &documents)
{
    const auto stored = documents.find(key);
    if (stored == documents.end())
        page["documents"][key.toString()] = nullptr;
    else
        page["documents"][key.toString()] =
                json::array({stored->second.revision, *stored->second.body});
}

void appendDocumentPage(json &page, const ConfigurationSource &source, const std::string &after)
{
    std::size_t bytes = 0;
    auto entry = source.documents.begin();
    if (const auto key = parseDocumentKey(after))
        entry = source.documents.upper_bound(*key);
    for (; entry != source.documents.end() && bytes < maximumPageBytes; ++entry) {
        appendDocument(page, entry->first, source.documents);
        bytes += entry->second.body->size() + entry->first.name.size();
        page["next_after"] = entry->first.toString();
    }
    if (entry == source.documents.end())
        page.erase("next_after");
}

} // namespace

std::string formatTransferPage(const ConfigurationSource &source, std::uint64_t knownRevision,
                               const std::string &after)
{
    json page;
    page["revision"] = source.revision;
    page["documents"] = json::object();
    page["changes"] = json::array();
    for (const ChangeRecord &record : source.changes)
        page["changes"].push_back(toJson(record));
    if (makeHead(source).coversChangesAfter(knownRevision)) {
        page["since"] = knownRevision;
        for (const ChangeRecord &record : source.changes) {
            if (record.revision <= knownRevision)
                continue;
            for (const DocumentChange &change : record.documents)
                appendDocument(page, change.key, source.documents);
        }
    } else {
        appendDocumentPage(page, source, after);
    }
    return page.dump();
}

TransferReader::TransferReader(std::shared_ptr<const ConfigurationSource> localSource)
    : localSource(std::move(localSource))
{
}

bool TransferReader::addPage(std::string_view text, Error &reason)
{
    try {
        const json page = json::parse(text);
        const auto revision = page.at("revision").get<std::uint64_t>();
        const bool isDelta = page.contains("since");
        if (isDelta && page["since"] != this->localSource->revision)
            throw json::other_error::create(501, "the changes start at another revision", &page);
        if (!this->collected || this->collected->revision != revision) {
            const bool isContinuation = this->collected && !this->after.empty();
            this->collected = std::make_shared<ConfigurationSource>();
            this->collected->revision = revision;
            if (isDelta)
                this->collected->documents = this->localSource->documents;
            if (isContinuation && !isDelta) {
                // The peer applied a new revision between two pages, so the earlier pages are
                // discarded.
                this->after.clear();
                this->collected.reset();
                return true;
            }
            for (const json &record : page.at("changes"))
                this->collected->changes.push_back(changeRecordFromJson(record));
        }
        for (const auto &[name, entry] : page.at("documents").items()) {
            const DocumentKey key = documentKeyFromJson(name);
            if (entry.is_null())
                this->collected->documents.erase(key);
            else
                this->collected->documents[key] = makeStoredDocument(
                        entry.at(1).get<std::string>(), entry.at(0).get<std::uint64_t>());
        }
        this->after = page.value("next_after", "");
        this->isComplete = this->after.empty();
        return true;
    } catch (const json::exception &exception) {
        reason = {ErrorCode::ConfigurationInvalid,
                  RunState::NotRun,
                  std::string("malformed configuration from a peer: ") + exception.what(),
                  {}};
        return false;
    }
}

const std::string &TransferReader::nextAfter() const
{
    return this->after;
}

std::shared_ptr<const ConfigurationSource> TransferReader::result() const
{
    return this->isComplete ? this->collected : nullptr;
}

} // namespace sassafrasyard
