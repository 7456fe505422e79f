#pragma once

#include "foxtailwheel/base/Ids.h"
#include "foxtailwheel/config/Declarations.h"
#include "foxtailwheel/routing/ColdCallLimiter.h"
#include "foxtailwheel/routing/LoadBalancingPolicy.h"
#include "foxtailwheel/routing/LoadEstimate.h"
#include "foxtailwheel/routing/PrefixIndex.h"
#include "foxtailwheel/routing/ServerHealth.h"
#include "foxtailwheel/routing/ZoneRamp.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace foxtailwheel::routing {

/// @brief Settings of a server pool on one instance.
struct PoolOptions {
    InstanceId self;
    AvailabilityZoneId zone;
    std::size_t subsetSize = 32; ///< Maximum number of servers that this instance sends calls to.
    LoadBalancingPolicyKind policy = LoadBalancingPolicyKind::LeastExpectedTime;
    bool prefixAffinity = true;
    std::uint64_t seed = 1;
};

/// @brief Requirements of a call that is to be sent to a backend server.
struct PlacementRequest {
    std::optional<PrefixHash> prefix; ///< Prefix of the prompt, for model engines.
    std::vector<BackendServerId> avoid = {}; ///< Servers of earlier attempts; used only if there is no other.
    bool healthyOnly = false; ///< True for calls that probe a suspected server only after it has passed a check.
    std::optional<std::uint32_t> maxOwnCalls
        = std::nullopt; ///< Excludes servers with this many calls of this instance in progress.
    std::optional<std::uint64_t> affinityKey
        = std::nullopt; ///< Hash key; calls with the same key prefer the same server on all instances.
    std::optional<Duration> maxExpectedTime = std::nullopt; ///< Excludes servers with a longer expected time.
    std::optional<AvailabilityZoneId> preferredZone
        = std::nullopt; ///< Limits the choice to usable servers in this zone, if there are any.
    LoadBalancingPolicy* policy = nullptr; ///< Chooses in place of the policy of the pool and of `affinityKey`.
    std::optional<std::set<AvailabilityZoneId>> allowedZones
        = std::nullopt; ///< Excludes servers in other zones, even if there are no others.
};

/// @brief Server chosen for a call.
struct Placement {
    config::BackendServer server;
    Cost linkCost; ///< Price of the network link to the zone of the server.
    Duration expectedTime {}; ///< Expected time from sending the call to its response.
    bool crossesZone = false;
};

/// @brief Outcome and latency of a call.
struct CallReport {
    CallOutcome outcome = CallOutcome::Success;
    Duration latency {}; ///< From sending the call to the end of its response; used only if `outcome` is `Success`.
    std::optional<PrefixHash> prefix;
};

/// @brief State of one server for the operator API.
struct ServerStatus {
    config::BackendServer server;
    double load = 0;
    std::uint32_t ownCalls = 0;
    bool suspected = false;
    bool leaving = false;
    bool inSubset = false;
    Duration callTime {};
    TimePoint reportedAt {}; ///< Measurement time of the last load report.
};

/// @brief Backend servers of one service as seen by one instance; chooses a server for each call.
///
/// Thread-safe; each pool has one lock. Only the servers of the subset of this instance are considered, so the cost of
/// a choice does not grow with the size of the pool.
class ServerPool {
public:
    /// @brief Creates the pool of a declared service.
    static std::unique_ptr<ServerPool> create(
        const config::Service& service, const config::Declarations& declarations, PoolOptions options);
    ~ServerPool();
    ServerPool(const ServerPool&) = delete;
    ServerPool& operator=(const ServerPool&) = delete;

    /// @brief Applies a new declaration of the service; keeps the state of servers whose address is unchanged. What is
    /// known of an earlier process of a server does not hold for the next one. Servers in drained zones get no calls.
    void update(const config::Service& service, const config::Declarations& declarations);
    /// @brief Chooses a server and counts the call as in progress there; returns an empty value if no server is usable.
    std::optional<Placement> place(const PlacementRequest& request, TimePoint now);
    /// @brief Records the end of a placed call, and returns what it has changed in the health of the server.
    HealthChange onCallEnded(const BackendServerId& server, const CallReport& report, TimePoint now);
    /// @brief Records that a placed call was cancelled.
    /// @param after Time from sending to cancellation.
    void onCallCancelled(const BackendServerId& server, Duration after, TimePoint now);
    /// @brief Applies a load report of a server.
    void onLoadReport(const BackendServerId& server, const LoadReport& report);
    /// @brief Applies a prefix cache event of a server.
    void onCacheEvent(const BackendServerId& server, const CacheEvent& event);
    /// @brief Sets the servers that are leaving and receive no new calls; replaces the previous set.
    void setLeaving(const std::set<BackendServerId>& leaving);
    /// @brief Limits the calls to cold servers, which get no call that `limiter` does not admit (see
    /// `ColdCallLimiter`).
    void updateColdCalls(const std::function<void(ColdCallLimiter& limiter)>& update);
    /// @brief Returns the number of calls that cold servers were left out of, since the pool was created.
    std::uint64_t coldCallsHeld() const;
    /// @brief Returns the servers for which the limit has taken effect since the last call.
    std::vector<BackendServerId> takeNewlyLimited();
    /// @brief Sets when zones were restored; their servers get their traffic in steps (see `ZoneRamp`), unless no other
    /// server is usable.
    void setRestoredZones(std::map<AvailabilityZoneId, TimePoint> restoredAt);
    /// @brief Sends no calls to a server for `time`, since it asked for that. Calls in progress go on.
    /// @return The time for which it gets none, 10 minutes at most: what it asked for may be a mistake.
    Duration pause(const BackendServerId& server, Duration time, TimePoint now);
    /// @brief Returns the time until which a server is paused; empty if it is not.
    std::optional<TimePoint> pausedUntil(const BackendServerId& server, TimePoint now) const;
    /// @brief Returns the earliest time at which a pause ends, if all servers of the subset are paused, and one second
    /// from now if all are in zones that are declared as drained.
    std::optional<TimePoint> pausedUntil(TimePoint now) const;
    /// @brief Returns the suspected servers whose check is due. Until they pass it, no `healthyOnly` call is placed
    /// there.
    std::vector<config::BackendServer> serversToCheck(TimePoint now) const;
    /// @brief Records that a check was sent to a server.
    void onCheckStarted(const BackendServerId& server, TimePoint now);
    /// @brief Records the result of a check of a server as it was declared when the check was sent.
    void onCheckEnded(const config::BackendServer& server, bool passed, TimePoint now);
    /// @brief Returns the expected time of a call to an average server of the subset, including queueing.
    Duration expectedCallTime() const;
    /// @brief Returns the usable servers of the subset with fewer than `maxOwnCalls` calls of this instance in
    /// progress.
    std::vector<config::BackendServer> availableServers(std::uint32_t maxOwnCalls, TimePoint now) const;
    /// @brief Returns the number of servers that are not leaving, by zone.
    std::map<AvailabilityZoneId, std::size_t> serversByZone() const;
    /// @brief Returns a quantile of the time of successful calls, or `fallback` while there are too few samples.
    Duration callTimeQuantile(double q, Duration fallback) const;
    /// @brief Returns the estimated number of calls that the usable servers of the pool execute concurrently.
    double usableSlots(TimePoint now) const;
    /// @brief Returns the estimated calls at the servers of the subset divided by their total concurrency.
    double utilization() const;
    /// @brief Returns the state of all servers for the operator API.
    std::vector<ServerStatus> status() const;

private:
    struct Impl;
    explicit ServerPool(std::unique_ptr<Impl> impl);
    std::unique_ptr<Impl> m_impl;
};

} // namespace foxtailwheel::routing
