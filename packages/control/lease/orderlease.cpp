#include "control/lease/orderlease.h"

#include <nlohmann/json.hpp>

namespace sassafrasyard {

using nlohmann::json;

std::string formatLease(const LeaseRecord &record)
{
    json item;
    item["holder"] = record.holder.toString();
    item["token"] = record.token;
    item["renewal"] = record.renewal;
    return item.dump();
}

std::optional<LeaseRecord> parseLease(std::string_view text)
{
    try {
        const json item = json::parse(text);
        LeaseRecord record;
        record.holder = HostIncarnation(item.at("holder").get<std::string>());
        record.token = item.at("token").get<std::uint64_t>();
        record.renewal = item.at("renewal").get<std::uint64_t>();
        return record;
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

OrderLease::OrderLease(HostIncarnation self, LeaseOptions options)
    : self(std::move(self))
    , options(options)
{
}

void OrderLease::recordRead(const std::optional<LeaseRecord> &record, std::uint64_t version,
                            Milliseconds readStarted, Milliseconds now)
{
    // The stored record equals the pending write: the write took effect and its reply was lost.
    if (this->pendingWrite && record && *record == this->pendingWrite->record) {
        this->recordWritten(version);
        return;
    }
    // An older version is a stale read.
    if (this->lastVersion && version < *this->lastVersion)
        return;
    if (!this->lastVersion || version != *this->lastVersion)
        this->unchangedSince = now;
    this->lastVersion = version;
    this->lastRecord = record;
    const bool isOwn = record && record->holder == this->self && record->token == this->heldToken;
    if (this->heldSince && !isOwn && *this->heldSince <= readStarted)
        this->abandon();
}

std::optional<LeaseWrite> OrderLease::nextWrite(Milliseconds now)
{
    if (!this->lastVersion)
        return std::nullopt;
    LeaseWrite write;
    write.version = *this->lastVersion;
    write.record.holder = this->self;
    if (this->isHeld(now)) {
        if (now - *this->heldSince < this->options.renewalInterval)
            return std::nullopt;
        write.record.token = this->heldToken;
    } else {
        const bool isOwn = this->lastRecord && this->lastRecord->holder == this->self;
        if (this->lastRecord && !isOwn && now - this->unchangedSince < this->options.duration)
            return std::nullopt;
        write.record.token = this->lastRecord ? this->lastRecord->token + 1 : 1;
    }
    // Each attempt differs, so that an earlier attempt that takes effect late is not mistaken for
    // this one.
    write.record.renewal = ++this->writeCount;
    this->pendingWrite = PendingWrite{write.record, now};
    return write;
}

void OrderLease::recordWritten(std::uint64_t version)
{
    if (!this->pendingWrite)
        return;
    this->heldToken = this->pendingWrite->record.token;
    this->heldSince = this->pendingWrite->sentAt;
    this->lastRecord = this->pendingWrite->record;
    this->lastVersion = version;
    this->unchangedSince = this->pendingWrite->sentAt;
    this->pendingWrite.reset();
}

void OrderLease::abandon()
{
    this->heldSince.reset();
    this->pendingWrite.reset();
}

bool OrderLease::isHeld(Milliseconds now) const
{
    return this->heldSince
            && now < *this->heldSince + this->options.duration - this->options.margin;
}

std::uint64_t OrderLease::token() const
{
    return this->heldToken;
}

} // namespace sassafrasyard
