#pragma once

#include "foxtailwheel/base/Ids.h"
#include "foxtailwheel/base/StrongId.h"
#include "foxtailwheel/routing/EngineMemory.h"
#include "foxtailwheel/routing/LoadBalancingPolicy.h"
#include "foxtailwheel/routing/LoadEstimate.h"
#include "foxtailwheel/routing/LoadExchange.h"
#include "foxtailwheel/routing/ServerSpeed.h"

#include <optional>
#include <unordered_map>
#include <vector>

namespace foxtailwheel::routing {

/// @brief Number of a call in `EvenLoad`, chosen by its user.
using PlacedCallId = StrongNumber<struct PlacedCallTag>;

/// @brief Parameters of the choice by expected time.
struct EvenLoadParameters {
    std::size_t preferredServers = 3; ///< First servers of the rendezvous order, which keep a shared part cached.
    Duration cacheRetention = std::chrono::seconds(9); ///< Time after its last use for which a part counts as cached.
    /// @brief Probability that the first server of the rendezvous order has a rare part cached: others prefer it, too.
    double firstCachedProbability = 0.9;
    double nextCachedRatio = 0.3; ///< Of each further preferred server, relative to the one before.
    /// @brief Weight of reading shared tokens that another server has cached: it takes the time of other requests, too.
    /// With 1, a tenth of the shared tokens was read again, as each of many servers is chosen with a small probability.
    double rereadWeight = 2.5;
    double spillWeight = 1.5; ///< Additional factor of this weight beyond the preferred servers.
    double loadWeight = 0.3; ///< Additional time on a server whose slots are all busy, as a fraction.
    /// @brief Servers within this fraction of the time of a mean call are about equally likely. With 0.1, instances
    /// that know the same old reports choose the same servers; with 0.6, shared parts are read more often.
    double tieShare = 0.3;
    /// @brief Half-life of a load report, in mean call times. With 1 or more, instances follow reports of 1 s together
    /// and overload servers in turns.
    double reportHalfLife = 0.5;
    Duration levelTime = std::chrono::seconds(10); ///< Over which the level of the reports of a server is averaged.
    Duration levelHalfLife = std::chrono::seconds(5); ///< Of this level without new reports.
    double initialReadingShare = 0.1; ///< Fraction of the time of a call that is reading, until it is measured.
    double initialTokensPerSecond = 36000; ///< Reading speed of an engine until measurements are available.
    double memoryLimit = 0.9; ///< Fraction of the memory of an engine above which it has no room.
    Duration fullPenalty = std::chrono::seconds(10); ///< Added for a server without room in its memory.
    Duration slowdownHalfLife = std::chrono::milliseconds(300); ///< Slow phases take some 600 ms.
    Duration speedHalfLife = std::chrono::seconds(30); ///< Of a measured speed without new measurements.
    Duration initialCallTime = std::chrono::milliseconds(60); ///< Of a mean call until measurements are available.
};

/// @brief Load of the servers of a service as it is known, for metrics.
struct KnownLoad {
    double meanCalls = 0; ///< At a server.
    double spread = 0; ///< Standard deviation of the calls at a server divided by their mean.
    Duration meanAge {}; ///< Of the last report of each server that has sent one.
    std::size_t silentServers = 0; ///< Without a report.
};

/// @brief Mean of the samples so far, in which the later ones of many count more.
class SampleMean {
public:
    void add(double sample);
    double valueOr(double initial) const { return m_samples == 0 ? initial : m_mean; }

private:
    double m_mean = 0;
    double m_samples = 0;
};

/// @brief Work, speed and memory of the servers of one service as seen by one instance, and the choice of the server
/// with the least expected time. Not thread-safe.
class EvenLoad {
public:
    explicit EvenLoad(EvenLoadParameters parameters = {});

    /// @brief Sets the servers of the service. What is known of servers that remain is kept.
    /// @param slots Calls that a server runs at once.
    /// @param memoryTokens Memory of a model engine; 0 for other services.
    void configure(const std::vector<BackendServerId>& servers, std::uint32_t slots, std::uint64_t memoryTokens);
    /// @brief Sets the number of instances, which send about the same mix of requests.
    void setInstanceCount(std::size_t n) { m_instances = static_cast<double>(n); }

    /// @brief Chooses a candidate for a request; returns its index. `candidates` must not be empty.
    /// @param affinity Key of related requests; they prefer the first servers of its rendezvous order.
    std::size_t pick(std::span<const Candidate> candidates, const EngineDemand& demand,
        std::optional<std::uint64_t> affinity, Random& random, TimePoint now) const;
    /// @brief Returns the weight of each candidate in this choice, above 0 for the best ones; empty without candidates.
    std::vector<double> weights(std::span<const Candidate> candidates, const EngineDemand& demand,
        std::optional<std::uint64_t> affinity, TimePoint now) const;
    /// @brief Returns the expected time until the first event of a response of the server.
    double expectedSeconds(const BackendServerId& server, const EngineDemand& demand, TimePoint now) const;

    void onCallSent(PlacedCallId call, const BackendServerId& server, const EngineDemand& demand, TimePoint now);
    /// @brief The first event of the response was received: the prompt has been read.
    /// @return The measured time relative to that on a mean server, for other instances; empty if it says too little.
    std::optional<double> onCallBegan(PlacedCallId call, TimePoint now);
    /// @return As for `onCallBegan`.
    std::optional<double> onCallEnded(PlacedCallId call, bool succeeded, TimePoint now);
    /// @brief Applies a time ratio of a report alone, for simulations. Unknown servers are ignored.
    void onTimeRatio(std::uint64_t server, double ratio, TimePoint measuredAt);
    /// @brief Applies a load report of a server, own or of another instance. Unknown servers are ignored.
    void onReport(const SharedLoad& report, TimePoint now);

    KnownLoad knownLoad(TimePoint now) const;

private:
    struct Server {
        LoadEstimate load;
        ServerSpeed speed;
        PromptCache cache;
        EngineMemory memory;
        double unreadTokens = 0; ///< Of own calls without a first event.
        double level = 0; ///< Calls of other instances, averaged over the last reports.
    };
    struct Call {
        std::uint64_t server = 0;
        double unreadTokens = 0;
        double tokensAhead = 0; ///< Known when it was sent.
        double heldTokens = 0;
        TimePoint sentAt;
        bool began = false;
    };
    bool isEngine() const { return m_memoryTokens > 0; }
    Server* find(std::uint64_t server);
    const Server* find(std::uint64_t server) const;
    void updateUsualSlowdown(TimePoint now);
    double preferenceWeight(const BackendServerId& server, TimePoint now) const;
    std::vector<std::optional<std::size_t>> preferredRanks(
        std::span<const Candidate> candidates, std::uint64_t key, TimePoint now) const;
    double otherCalls(const Server& server, TimePoint now) const;
    double cachedProbability(
        const Server& server, std::uint64_t part, std::optional<std::size_t> rank, TimePoint now) const;
    double sharedTokensToRead(
        const Server& server, const EngineDemand& demand, std::optional<std::size_t> rank, TimePoint now) const;
    double waitingTokens(const Server& server, TimePoint now) const;
    double expectedSeconds(
        const Server& server, const EngineDemand& demand, std::optional<std::size_t> rank, TimePoint now) const;
    double meanCallSeconds() const { return m_callSeconds.valueOr(toSeconds(m_parameters.initialCallTime)); }
    double usesEverywhere(std::uint64_t part, TimePoint now) const;
    void recordUses(const EngineDemand& demand, TimePoint now);

    EvenLoadParameters m_parameters;
    std::unordered_map<std::uint64_t, Server> m_servers; ///< By the hash of their id.
    std::unordered_map<PlacedCallId, Call> m_calls;
    struct Uses {
        double count = 0; ///< Decays with the retention of the cache.
        TimePoint at;
    };
    std::unordered_map<std::uint64_t, Uses> m_uses; ///< Of shared parts, by this instance.
    std::uint32_t m_slots = 1;
    std::uint64_t m_memoryTokens = 0;
    double m_instances = 1;
    double m_meanOtherCalls = 0;
    SampleMean m_unreadTokens; ///< Of a call when it is sent.
    SampleMean m_heldTokens;
    SampleMean m_readingSeconds; ///< From sending a call to its first event.
    SampleMean m_callSeconds;
    double m_secondsPerToken;
    double m_usualSlowdown = 1; ///< Median over the servers of their usual slowdown.
    TimePoint m_usualSlowdownAt {};
};

/// @brief Adapter of `EvenLoad` for one request.
class EvenLoadPolicy final : public LoadBalancingPolicy {
public:
    EvenLoadPolicy(
        const EvenLoad& load, const EngineDemand& demand, std::optional<std::uint64_t> affinity, TimePoint now)
        : m_load(load)
        , m_demand(demand)
        , m_affinity(affinity)
        , m_now(now)
    {
    }
    std::size_t pick(std::span<const Candidate> candidates, Random& random) override
    {
        return m_load.pick(candidates, m_demand, m_affinity, random, m_now);
    }

private:
    const EvenLoad& m_load;
    const EngineDemand& m_demand;
    std::optional<std::uint64_t> m_affinity;
    TimePoint m_now;
};

} // namespace foxtailwheel::routing
