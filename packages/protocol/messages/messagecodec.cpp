#include "protocol/messages/messagecodec.h"

#include <msgpack.hpp>

#include <algorithm>
#include <array>
#include <type_traits>
#include <utility>

namespace sassafrasyard {

namespace {

// Each overload lists the fields of one message in their order on the wire.
template <typename Visitor>
void visitFields(Visitor &visit, auto &record) requires
        std::is_same_v<std::remove_cvref_t<decltype(record)>, MemberRecord>
{
    visit(record.host, record.incarnation, record.failureDomain, record.region, record.peerAddress,
          record.callerAddress, record.state, record.version, record.isServing);
}

template <typename Visitor>
void visitFields(Visitor &visit, auto &entry) requires
        std::is_same_v<std::remove_cvref_t<decltype(entry)>, LoadEntryMessage>
{
    visit(entry.server, entry.running, entry.reservedTokens, entry.pendingPromptTokens);
}

template <typename Visitor>
void visitFields(Visitor &visit, auto &record) requires
        std::is_same_v<std::remove_cvref_t<decltype(record)>, QuarantineMessage>
{
    visit(record.requestDigest, record.deaths, record.remainingMilliseconds, record.incident,
          record.serverDigest);
}

template <typename Visitor>
void visitFields(Visitor &visit, auto &use) requires
        std::is_same_v<std::remove_cvref_t<decltype(use)>, AccountUseMessage>
{
    visit(use.account, use.running, use.startsPerSecond);
}

template <typename Visitor>
void visitFields(Visitor &visit, auto &gossip) requires
        std::is_same_v<std::remove_cvref_t<decltype(gossip)>, Gossip>
{
    visit(gossip.members, gossip.loadHost, gossip.loadSequence, gossip.load, gossip.accounts,
          gossip.quarantine, gossip.leavingServers, gossip.revision);
}

template <typename Visitor>
void visitFields(Visitor &visit, auto &message) requires
        std::is_same_v<std::remove_cvref_t<decltype(message)>, Probe>
{
    visit(message.sequence, message.sender, message.wantsAllMembers, message.gossip);
}

template <typename Visitor>
void visitFields(Visitor &visit, auto &message) requires
        std::is_same_v<std::remove_cvref_t<decltype(message)>, ProbeReply>
{
    visit(message.sequence, message.sender, message.gossip);
}

template <typename Visitor>
void visitFields(Visitor &visit, auto &message) requires
        std::is_same_v<std::remove_cvref_t<decltype(message)>, IndirectProbe>
{
    visit(message.sequence, message.target);
}

template <typename Visitor>
void visitFields(Visitor &visit, auto &message) requires
        std::is_same_v<std::remove_cvref_t<decltype(message)>, IndirectProbeReply>
{
    visit(message.sequence, message.isAlive);
}

template <typename Visitor>
void visitFields(Visitor &visit, auto &message) requires
        std::is_same_v<std::remove_cvref_t<decltype(message)>, ConfigurationPull>
{
    visit(message.sequence, message.knownRevision, message.after);
}

template <typename Visitor>
void visitFields(Visitor &visit, auto &message) requires
        std::is_same_v<std::remove_cvref_t<decltype(message)>, ConfigurationReply>
{
    visit(message.sequence, message.revision, message.document);
}

template <typename Visitor>
void visitFields(Visitor &visit, auto &message) requires
        std::is_same_v<std::remove_cvref_t<decltype(message)>, ForwardCall>
{
    visit(message.sequence, message.incarnation, message.account, message.service, message.path,
          message.key, message.body);
}

template <typename Visitor>
void visitFields(Visitor &visit, auto &message) requires
        std::is_same_v<std::remove_cvref_t<decltype(message)>, ForwardReply>
{
    visit(message.sequence, message.status, message.body, message.retryAfterMilliseconds);
}

template <typename Visitor>
void visitFields(Visitor &visit, auto &message) requires
        std::is_same_v<std::remove_cvref_t<decltype(message)>, LoadUpdate>
{
    visit(message.gossip);
}

template <typename Visitor>
void visitFields(Visitor &visit, auto &message) requires
        std::is_same_v<std::remove_cvref_t<decltype(message)>, ObjectRead>
{
    visit(message.sequence, message.kind, message.wantsAll, message.since,
          message.waitMilliseconds);
}

template <typename Visitor>
void visitFields(Visitor &visit, auto &object) requires
        std::is_same_v<std::remove_cvref_t<decltype(object)>, SharedObject>
{
    visit(object.name, object.revision, object.value, object.isRemoved);
}

template <typename Visitor>
void visitFields(Visitor &visit, auto &message) requires
        std::is_same_v<std::remove_cvref_t<decltype(message)>, ObjectReadReply>
{
    visit(message.sequence, message.result, message.revision, message.newestRevision,
          message.ageMilliseconds, message.digest, message.objects);
}

template <typename Visitor>
void visitFields(Visitor &visit, auto &limit) requires
        std::is_same_v<std::remove_cvref_t<decltype(limit)>, CallLimitMessage>
{
    visit(limit.run, limit.isLimited, limit.callsPerSecond, limit.ageMilliseconds, limit.id);
}

template <typename Visitor>
void visitFields(Visitor &visit, auto &message) requires
        std::is_same_v<std::remove_cvref_t<decltype(message)>, CallPermitRequest>
{
    visit(message.sequence, message.limit, message.isUrgent);
}

template <typename Visitor>
void visitFields(Visitor &visit, auto &message) requires
        std::is_same_v<std::remove_cvref_t<decltype(message)>, CallPermitReply>
{
    visit(message.sequence, message.isGranted, message.pauseMilliseconds, message.limit);
}

template <typename Visitor>
void visitFields(Visitor &visit, auto &message) requires
        std::is_same_v<std::remove_cvref_t<decltype(message)>, PlacePermitRequest>
{
    visit(message.sequence, message.host, message.placeSequence, message.run, message.service,
          message.isAsk, message.isAnnouncement, message.slots, message.outstanding,
          message.firstPending, message.rejectionLimit, message.rejections);
}

template <typename Visitor>
void visitFields(Visitor &visit, auto &message) requires
        std::is_same_v<std::remove_cvref_t<decltype(message)>, ColdPermitRequest>
{
    visit(message.sequence, message.run, message.callsPerSecond, message.remainingMilliseconds,
          message.isUrgent);
}

template <typename Visitor>
void visitFields(Visitor &visit, auto &speed) requires
        std::is_same_v<std::remove_cvref_t<decltype(speed)>, SpeedMessage>
{
    visit(speed.server, speed.millisecondsPerToken, speed.samples);
}

template <typename Visitor>
void visitFields(Visitor &visit, auto &message) requires
        std::is_same_v<std::remove_cvref_t<decltype(message)>, SpeedUpdate>
{
    visit(message.sequence, message.speeds);
}

template <typename Visitor>
void visitFields(Visitor &visit, auto &message) requires
        std::is_same_v<std::remove_cvref_t<decltype(message)>, SpeedUpdateReply>
{
    visit(message.sequence);
}

template <typename Visitor>
void visitFields(Visitor &visit, auto &message) requires
        std::is_same_v<std::remove_cvref_t<decltype(message)>, CallLimitUpdate>
{
    visit(message.limits);
}

template <typename Visitor>
void visitFields(Visitor &visit, auto &run) requires
        std::is_same_v<std::remove_cvref_t<decltype(run)>, RunVersionMessage>
{
    visit(run.keyHigh, run.keyLow, run.service, run.version);
}

template <typename Visitor>
void visitFields(Visitor &visit, auto &message) requires
        std::is_same_v<std::remove_cvref_t<decltype(message)>, RunVersionUpdate>
{
    visit(message.sequence, message.sender, message.runs);
}

template <typename Visitor>
void visitFields(Visitor &visit, auto &message) requires
        std::is_same_v<std::remove_cvref_t<decltype(message)>, RunVersionUpdateReply>
{
    visit(message.sequence);
}

template <typename Visitor>
void visitFields(Visitor &visit, auto &run) requires
        std::is_same_v<std::remove_cvref_t<decltype(run)>, RunKeyMessage>
{
    visit(run.keyHigh, run.keyLow, run.service);
}

template <typename Visitor>
void visitFields(Visitor &visit, auto &message) requires
        std::is_same_v<std::remove_cvref_t<decltype(message)>, RunVersionRequest>
{
    visit(message.sequence, message.runs);
}

template <typename Visitor>
void visitFields(Visitor &visit, auto &answer) requires
        std::is_same_v<std::remove_cvref_t<decltype(answer)>, RunVersionAnswer>
{
    visit(answer.result, answer.version);
}

template <typename Visitor>
void visitFields(Visitor &visit, auto &message) requires
        std::is_same_v<std::remove_cvref_t<decltype(message)>, RunVersionReply>
{
    visit(message.sequence, message.answers);
}

template <typename Visitor>
void visitFields(Visitor &visit, auto &message) requires
        std::is_same_v<std::remove_cvref_t<decltype(message)>, ServiceContactRequest>
{
    visit(message.sequence, message.service);
}

template <typename Visitor>
void visitFields(Visitor &visit, auto &message) requires
        std::is_same_v<std::remove_cvref_t<decltype(message)>, ServiceContactReply>
{
    visit(message.sequence, message.isReached, message.relayAddress, message.configurationVersion);
}

class Encoder
{
public:
    template <typename... Fields>
    void operator()(const Fields &...fields)
    {
        this->packer.pack_array(sizeof...(Fields));
        (this->put(fields), ...);
    }

    std::string takeBytes() { return std::string(this->buffer.data(), this->buffer.size()); }

private:
    template <typename Tag>
    void put(const Identifier<Tag> &value)
    {
        this->packer.pack(value.toString());
    }

    void put(MemberState value) { this->packer.pack(static_cast<std::uint8_t>(value)); }

    void put(ObjectReadResult value) { this->packer.pack(static_cast<std::uint8_t>(value)); }

    void put(RunVersionResult value) { this->packer.pack(static_cast<std::uint8_t>(value)); }

    template <typename Element>
    void put(const std::vector<Element> &values)
    {
        this->packer.pack_array(static_cast<std::uint32_t>(values.size()));
        for (const Element &value : values)
            this->put(value);
    }

    template <typename Value>
    void put(const Value &value)
    {
        if constexpr (std::is_arithmetic_v<Value> || std::is_same_v<Value, std::string>) {
            this->packer.pack(value);
        } else {
            visitFields(*this, value);
        }
    }

    msgpack::sbuffer buffer;
    msgpack::packer<msgpack::sbuffer> packer{this->buffer};
};

class Decoder
{
public:
    explicit Decoder(const msgpack::object &object)
        : object(&object)
    {
    }

    template <typename... Fields>
    void operator()(Fields &...fields)
    {
        const msgpack::object *enclosing = this->object;
        if (enclosing->type != msgpack::type::ARRAY
            || enclosing->via.array.size != sizeof...(Fields))
            throw msgpack::type_error();
        std::size_t index = 0;
        (this->get(enclosing->via.array.ptr[index++], fields), ...);
    }

private:
    template <typename Tag>
    void get(const msgpack::object &from, Identifier<Tag> &value)
    {
        value = Identifier<Tag>(from.as<std::string>());
    }

    void get(const msgpack::object &from, MemberState &value)
    {
        const auto number = from.as<std::uint8_t>();
        if (number > static_cast<std::uint8_t>(MemberState::Dead))
            throw msgpack::type_error();
        value = static_cast<MemberState>(number);
    }

    void get(const msgpack::object &from, ObjectReadResult &value)
    {
        const auto number = from.as<std::uint8_t>();
        if (number > static_cast<std::uint8_t>(ObjectReadResult::TooLarge))
            throw msgpack::type_error();
        value = static_cast<ObjectReadResult>(number);
    }

    void get(const msgpack::object &from, RunVersionResult &value)
    {
        const auto number = from.as<std::uint8_t>();
        if (number > static_cast<std::uint8_t>(RunVersionResult::Ambiguous))
            throw msgpack::type_error();
        value = static_cast<RunVersionResult>(number);
    }

    template <typename Element>
    void get(const msgpack::object &from, std::vector<Element> &values)
    {
        if (from.type != msgpack::type::ARRAY)
            throw msgpack::type_error();
        values.resize(from.via.array.size);
        for (std::size_t index = 0; index < values.size(); ++index)
            this->get(from.via.array.ptr[index], values[index]);
    }

    template <typename Value>
    void get(const msgpack::object &from, Value &value)
    {
        if constexpr (std::is_arithmetic_v<Value> || std::is_same_v<Value, std::string>) {
            value = from.as<Value>();
        } else {
            Decoder nested(from);
            visitFields(nested, value);
        }
    }

    const msgpack::object *object;
};

template <std::size_t Kind>
std::optional<PeerMessage> decodeKind(std::size_t kind, const msgpack::object &object)
{
    if constexpr (Kind < std::variant_size_v<PeerMessage>) {
        if (kind != Kind)
            return decodeKind<Kind + 1>(kind, object);
        std::variant_alternative_t<Kind, PeerMessage> message;
        Decoder decoder(object);
        visitFields(decoder, message);
        return message;
    } else {
        return std::nullopt;
    }
}

/**
 * Limits on the size that a message may declare. Memory is allocated for the declared number of
 * elements before they are read. Messages have a few thousand at most, four levels deep.
 */
constexpr std::size_t maximumElements = 65536;
constexpr std::size_t maximumDepth = 8;

Error protocolViolation(std::string detail)
{
    return {ErrorCode::ProtocolViolation, RunState::NotRun, std::move(detail), std::nullopt};
}

} // namespace

std::string encodeMessage(const PeerMessage &message)
{
    std::string payload;
    payload.push_back(static_cast<char>(protocolVersion));
    payload.push_back(static_cast<char>(message.index()));
    std::visit(
            [&payload](const auto &alternative) {
                Encoder encoder;
                visitFields(encoder, alternative);
                payload += encoder.takeBytes();
            },
            message);
    return payload;
}

std::optional<PeerMessage> decodeMessage(std::string_view payload, Error &reason)
{
    const std::size_t count = std::min(payload.size(), maximumElements);
    const msgpack::unpack_limit limit(count, count, payload.size(), payload.size(), 0,
                                      maximumDepth);
    if (payload.size() < 3 || static_cast<unsigned char>(payload[0]) != protocolVersion) {
        reason = protocolViolation("unknown protocol version");
        return std::nullopt;
    }
    try {
        const msgpack::object_handle handle =
                msgpack::unpack(payload.data() + 2, payload.size() - 2, nullptr, nullptr, limit);
        auto message = decodeKind<0>(static_cast<unsigned char>(payload[1]), handle.get());
        if (!message)
            reason = protocolViolation("unknown message kind");
        return message;
    } catch (const std::exception &exception) {
        reason = protocolViolation(std::string("malformed message: ") + exception.what());
        return std::nullopt;
    }
}

} // namespace sassafrasyard
