// Measures memory and time per account, server, call, position and load message. docs/CAPACITY.md
// derives its capacity figures from these slopes.

#include "configuration/configuration.h"
#include "entry/calls/callledger.h"
#include "entry/positions/positioncodec.h"
#include "protocol/protocol.h"

#include <malloc.h>

#include <chrono>
#include <cstdio>
#include <functional>

using namespace sassafrasyard;

namespace {

std::size_t heapBytes()
{
    return mallinfo2().uordblks + mallinfo2().hblkhd;
}

/** Returns the mean time of one operation in microseconds. */
double meanMicroseconds(int repetitions, const std::function<void()> &operation)
{
    const auto begin = std::chrono::steady_clock::now();
    for (int repetition = 0; repetition < repetitions; ++repetition)
        operation();
    const std::chrono::duration<double, std::micro> elapsed =
            std::chrono::steady_clock::now() - begin;
    return elapsed.count() / repetitions;
}

Configuration makeConfiguration(std::size_t accounts, std::size_t servers)
{
    Configuration configuration;
    configuration.revision = 1;
    for (std::size_t number = 0; number < accounts; ++number) {
        ClientAccount account;
        account.limits.account = ClientAccountName("account-" + std::to_string(number));
        account.keyDigests = {sha256Hex("key-" + std::to_string(number))};
        for (const char *model : {"tagwriter", "plan", "chat"})
            account.models.emplace_back(ModelName(model), "v1");
        account.services = {"storedesk"};
        configuration.accounts.push_back(std::move(account));
    }
    for (std::size_t number = 0; number < servers; ++number) {
        BackendServer server;
        server.name = BackendServerName("server-" + std::to_string(number));
        server.address = "10.1.2.3:8000";
        server.failureDomain = FailureDomainName("domain-1");
        server.models = {ModelName("plan")};
        configuration.servers.push_back(std::move(server));
    }
    return configuration;
}

void measureConfiguration(std::size_t accounts, std::size_t servers)
{
    const std::string text = formatConfiguration(makeConfiguration(accounts, servers));
    Error reason;
    const std::size_t before = heapBytes();
    const auto parsed = parseConfiguration(text, reason);
    const std::size_t bytes = heapBytes() - before;
    const double parseTime = meanMicroseconds(3, [&] { parseConfiguration(text, reason); });
    const std::string lastKey = sha256Hex("key-" + std::to_string(accounts - 1));
    const double lookupTime = meanMicroseconds(1000, [&] { parsed->findByKeyDigest(lastKey); });
    std::printf("configuration accounts=%zu servers=%zu text_bytes=%zu heap_bytes=%zu "
                "parse_ms=%.1f key_lookup_us=%.2f\n",
                accounts, servers, text.size(), bytes, parseTime / 1000, lookupTime);
}

void measureLedger(int calls)
{
    CallLedger ledger({});
    const std::size_t before = heapBytes();
    const double time = meanMicroseconds(1, [&] {
        for (int number = 0; number < calls; ++number) {
            const CallKey key{ClientAccountName("account-7"), "key-" + std::to_string(number)};
            ledger.begin(key, 1, Milliseconds(0));
            ledger.complete(key, {200, std::string(200, 'x')}, Milliseconds(0));
        }
    });
    std::printf("ledger calls=%d heap_bytes_per_call=%zu us_per_call=%.2f\n", calls,
                (heapBytes() - before) / static_cast<std::size_t>(calls), time / calls);
}

void measureLoadUpdate(std::size_t entries)
{
    LoadUpdate update;
    update.gossip.loadHost = "entry-17";
    update.gossip.loadSequence = 12345;
    for (std::size_t number = 0; number < entries; ++number)
        update.gossip.load.push_back({"server-" + std::to_string(number), 9, 20000});
    const std::string payload = encodeMessage(update);
    Error reason;
    const double encodeTime = meanMicroseconds(2000, [&] { encodeMessage(update); });
    const double decodeTime = meanMicroseconds(2000, [&] { decodeMessage(payload, reason); });
    std::printf("load_update entries=%zu bytes=%zu encode_us=%.2f decode_us=%.2f\n", entries,
                payload.size(), encodeTime, decodeTime);
}

void measurePositions()
{
    const PositionCodec codec("0123456789abcdef");
    const PositionBinding binding{ClientAccountName("account-7"), sha256Hex("body")};
    RollingDigest digest;
    std::uint64_t index = 0;
    const double time = meanMicroseconds(100000, [&] {
        digest.append(" token");
        codec.encode({GenerationName("0123456789abcdef-12"), BackendServerName("server-7"),
                      "10.1.2.3:8000", index++, digest.toHex()},
                     binding);
    });
    std::printf("position us_per_token=%.2f\n", time);
}

} // namespace

int main()
{
    for (const std::size_t accounts : {10U, 570U, 5700U})
        measureConfiguration(accounts, 17);
    for (const std::size_t servers : {390U, 3900U})
        measureConfiguration(10, servers);
    for (const int calls : {1000, 10000, 100000})
        measureLedger(calls);
    for (const std::size_t entries : {16U, 48U, 144U})
        measureLoadUpdate(entries);
    measurePositions();
    return 0;
}
