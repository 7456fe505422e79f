#pragma once

#include "foxtailwheel/base/Ids.h"
#include "foxtailwheel/config/Declarations.h"
#include "foxtailwheel/routing/ChoicePolicy.h"
#include "foxtailwheel/routing/Health.h"
#include "foxtailwheel/routing/LoadEstimate.h"
#include "foxtailwheel/routing/PrefixIndex.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace foxtailwheel::routing {

/// @brief How a pool is used by one instance.
struct PoolOptions {
    InstanceId self;
    AvailabilityZoneId zone;
    std::size_t subsetSize = 32; ///< Most servers that this instance sends to.
    ChoicePolicyKind policy = ChoicePolicyKind::ExpectedFinish;
    bool prefixAffinity = true;
    std::uint64_t seed = 1;
};

/// @brief A call that needs a backend server.
struct PlacementRequest {
    std::optional<PrefixHash> prefix; ///< Leading part of the prompt, for model engines.
    std::vector<BackendServerId> avoid = {}; ///< Servers that this stage was sent to already.
    bool careful = false; ///< True for calls that must not be used to try a suspected server.
    std::optional<std::uint32_t> mostOwnCalls
        = std::nullopt; ///< Servers with as many own calls in progress are left out.
    std::optional<std::uint64_t> affinity
        = std::nullopt; ///< Calls of the same value prefer the same server on all instances.
    std::optional<Duration> longest = std::nullopt; ///< Servers that would take longer are left out.
    std::optional<AvailabilityZoneId> zone
        = std::nullopt; ///< Servers there are preferred where they are as idle as others.
};

/// @brief Where a call goes.
struct Placement {
    config::BackendServer server;
    Cost linkCost; ///< Price of the link between the zones.
    Duration expected {}; ///< Expected time until the answer.
    bool crossesZone = false;
};

/// @brief How a call ended, as far as routing is concerned.
struct CallReport {
    CallSign sign = CallSign::Good;
    Duration time {}; ///< From sending to the end of the answer; used where `sign` is `Good`.
    std::optional<PrefixHash> prefix;
};

/// @brief What operators see of one server.
struct ServerStatus {
    config::BackendServer server;
    double load = 0;
    std::uint32_t ownCalls = 0;
    bool suspected = false;
    bool leaving = false;
    bool inSubset = false;
    Duration callTime {};
    TimePoint reportedAt {}; ///< When the last load report was measured.
};

/// @brief The backend servers of one service as one instance sees them; chooses where each call goes.
///
/// Thread-safe: one lock for each pool. A choice looks at the instance's subset only, so its cost does not grow
/// with the pool.
class ServerPool {
public:
    /// @brief Makes the pool of a declared service.
    static std::unique_ptr<ServerPool> create(
        const config::Service& service, const config::Declarations& declarations, PoolOptions options);
    ~ServerPool();
    ServerPool(const ServerPool&) = delete;
    ServerPool& operator=(const ServerPool&) = delete;

    /// @brief Takes a new declaration of the service; what is known of servers that stay is kept.
    void update(const config::Service& service, const config::Declarations& declarations);
    /// @brief Chooses a server and counts the call as in progress there; empty where no server is usable.
    std::optional<Placement> place(const PlacementRequest& request, TimePoint now);
    /// @brief A placed call ended.
    void ended(const BackendServerId& server, const CallReport& report, TimePoint now);
    /// @brief A placed call was cancelled `after` it was sent.
    void cancelled(const BackendServerId& server, Duration after, TimePoint now);
    /// @brief Takes a load report of a server.
    void reported(const BackendServerId& server, const LoadReport& report);
    /// @brief Takes a prefix-cache event of a server.
    void cacheEvent(const BackendServerId& server, const CacheEvent& event);
    /// @brief Servers that are leaving and get nothing new from now on; replaces the earlier set.
    void setLeaving(const std::set<BackendServerId>& leaving);
    /// @brief Expected time of a call sent now to a typical server of the subset, queueing included.
    Duration expectedTime() const;
    /// @brief Usable servers with fewer own calls than `mostOwnCalls`.
    std::vector<config::BackendServer> freeServers(std::uint32_t mostOwnCalls, TimePoint now) const;
    /// @brief Servers that are not leaving, by zone.
    std::map<AvailabilityZoneId, std::size_t> serversByZone() const;
    /// @brief Quantile of the time of answered calls, or `fallback` before enough were seen.
    Duration timeQuantile(double q, Duration fallback) const;
    /// @brief Calls that all usable servers of the pool work on at once.
    double slots(TimePoint now) const;
    /// @brief Calls at the servers of the subset over the calls that they work on at once, by the latest estimate.
    double busyShare() const;
    /// @brief The servers for operators.
    std::vector<ServerStatus> status() const;

private:
    struct Impl;
    explicit ServerPool(std::unique_ptr<Impl> impl);
    std::unique_ptr<Impl> m_impl;
};

} // namespace foxtailwheel::routing
