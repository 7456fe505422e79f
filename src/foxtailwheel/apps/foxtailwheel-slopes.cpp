#include "foxtailwheel/base/Hash.h"
#include "foxtailwheel/bench/GossipGroup.h"
#include "foxtailwheel/config/Declarations.h"
#include "foxtailwheel/limits/RateAllocator.h"
#include "foxtailwheel/limits/RateLimiter.h"
#include "foxtailwheel/serving/ConfigSnapshot.h"

#include <array>
#include <cstdio>
#include <ctime>
#include <malloc.h>
#include <sstream>
#include <string>

namespace {

using namespace foxtailwheel;
using namespace std::chrono_literals;

double cpuSeconds()
{
    return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

double heapBytes()
{
    const auto info = mallinfo2();
    return static_cast<double>(info.uordblks) + static_cast<double>(info.hblkhd);
}

/// Returns the simulated seconds until `condition` is true, checked every 100 ms; -1 after 60 s.
template <class Condition> double secondsUntil(bench::GossipGroup& group, Condition condition)
{
    for (int i = 0; i < 600; ++i) {
        if (condition())
            return i / 10.0;
        group.run(100ms);
    }
    return -1;
}

void measureGossip(std::size_t n)
{
    const double heapBefore = heapBytes();
    bench::GossipGroup group(n, 0.01, 1);
    const double convergenceSeconds = secondsUntil(group, [&] { return group.hasConverged(); });
    group.run(10s);
    const double heapGrowth = (heapBytes() - heapBefore) / static_cast<double>(n);
    const auto messages = group.sentMessages();
    const double cpuStart = cpuSeconds();
    group.run(5s);
    const double cpuShare = (cpuSeconds() - cpuStart) / 5 / static_cast<double>(n);
    const double messagesPerSecond = static_cast<double>(group.sentMessages() - messages) / 5 / static_cast<double>(n);
    group.setByteCounting(true);
    group.run(2s);
    const double bytes = static_cast<double>(group.sentBytes()) / 2 / static_cast<double>(n);
    group.setByteCounting(false);
    group.announceLeaving(0, BackendServerId("server"));
    const double propagationSeconds
        = secondsUntil(group, [&] { return group.allKnowLeaving(BackendServerId("server")); });
    std::printf("gossip instances=%zu messages/s=%.2f sent_bytes/s=%.0f cpu_share=%.6f heap_bytes=%.0f all_met_s=%.1f "
                "leaving_server_known_s=%.1f\n",
        n, messagesPerSecond, bytes, cpuShare, heapGrowth, convergenceSeconds, propagationSeconds);
    std::fflush(stdout);
}

std::string declarationsText(std::size_t servers, std::size_t accounts)
{
    std::ostringstream text;
    text << "zones:\n  - { name: a, region: r }\nservices:\n  - name: generate\n    kind: model-engine\n    "
            "typical_time: 400ms\n    servers:\n";
    for (std::size_t i = 0; i < servers; ++i)
        text << "      - { name: g" << i << ", address: 10." << i / 65536 << "." << i / 256 % 256 << "." << i % 256
             << ":9000, zone: a }\n";
    text << "pipelines:\n  - { name: answer, result: generate, deadline: 9s }\naccounts:\n";
    for (std::size_t i = 0; i < accounts; ++i)
        text << "  - { name: account-" << i << ", rate: 10/s, credential_sha256: " << sha256Hex(std::to_string(i))
             << " }\n";
    return text.str();
}

void measureConfiguration(std::size_t servers, std::size_t accounts)
{
    const auto text = declarationsText(servers, accounts);
    const double heapBefore = heapBytes();
    double cpuStart = cpuSeconds();
    auto parsed = config::parseDeclarations(text);
    const double parseSeconds = cpuSeconds() - cpuStart;
    auto declarations = std::make_shared<const config::Declarations>(std::move(parsed.declarations));
    routing::PoolOptions options;
    options.self = InstanceId("instance-0");
    options.zone = AvailabilityZoneId("a");
    cpuStart = cpuSeconds();
    const auto snapshot = serving::makeConfigSnapshot(ConfigVersion(1), declarations, nullptr, options);
    const double buildSeconds = cpuSeconds() - cpuStart;
    cpuStart = cpuSeconds();
    const auto updatedSnapshot = serving::makeConfigSnapshot(ConfigVersion(2), declarations, snapshot.get(), options);
    const double updateSeconds = cpuSeconds() - cpuStart;
    std::printf("config servers=%zu accounts=%zu text_bytes=%zu parse_s=%.4f make_s=%.4f update_s=%.4f heap_bytes=%.0f "
                "faults=%zu\n",
        servers, accounts, text.size(), parseSeconds, buildSeconds, updateSeconds, heapBytes() - heapBefore,
        parsed.faults.size());
    std::fflush(stdout);
}

void measureRateAllocation(std::size_t accounts, std::size_t instances)
{
    limits::RateAllocator allocator;
    std::vector<InstanceId> ids;
    for (std::size_t i = 0; i < instances; ++i)
        ids.emplace_back("instance-" + std::to_string(i));
    const double heapBefore = heapBytes();
    for (std::size_t i = 0; i < accounts; ++i) {
        for (std::size_t j = 0; j < 8; ++j)
            allocator.setDemand(
                ClientAccountId("account-" + std::to_string(i)), ids[(i + j) % instances], 1, TimePoint(1h));
    }
    const double heapGrowth = heapBytes() - heapBefore;
    const double cpuStart = cpuSeconds();
    std::size_t shares = 0;
    for (const auto& it : allocator.accounts())
        shares += allocator.allocate(it, 10, ids, TimePoint(1h)).size();
    std::printf("rates owned_accounts=%zu instances=%zu divide_s=%.5f parts=%zu heap_bytes=%.0f\n", accounts, instances,
        cpuSeconds() - cpuStart, shares, heapGrowth);
    std::fflush(stdout);
}

} // namespace

int main()
{
    for (const std::size_t n : std::array { 9, 30, 100, 225 })
        measureGossip(n);
    for (const std::size_t servers : std::array { 20, 1000, 10000 })
        measureConfiguration(servers, 5);
    for (const std::size_t accounts : std::array { 5, 1000, 10000, 46000 })
        measureConfiguration(20, accounts);
    for (const std::size_t instances : std::array { 9, 225, 1800 })
        measureRateAllocation(26, instances);
    return 0;
}
