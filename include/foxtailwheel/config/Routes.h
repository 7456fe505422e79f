#pragma once

#include "foxtailwheel/base/Ids.h"
#include "foxtailwheel/base/Units.h"
#include "foxtailwheel/config/ConfigFaults.h"
#include "foxtailwheel/config/Declarations.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace foxtailwheel::config {

/// @brief Whether requests of a route can be retried or hedged.
enum class RetryMode {
    Allowed, ///< A request may run more than once.
    Never, ///< A request runs at most once.
};

/// @brief A service of a route with its weight in load balancing.
struct RouteTarget {
    ServiceId service;
    double weight = 1; ///< Relative to the other targets of the route.
    bool usable = true; ///< Otherwise the service is not declared, and requests for it are refused.
};

/// @brief A stage whose pieces must complete before the request itself is sent.
struct RouteStage {
    ServiceId service;
    std::vector<StageIndex> dependsOn; ///< Stages whose results are inputs of the pieces; they may be listed later.
    std::uint64_t resultBytes = 0; ///< Approximate size of one piece's result.
};

/// @brief A route: requests that match its host and path prefix are forwarded unchanged to its services.
struct Route {
    std::string name;
    std::string host;
    std::string prefix; ///< Begins and ends with a slash.
    RetryMode retryMode = RetryMode::Never;
    bool streaming = false; ///< The response is a stream of events.
    bool resumable = false; ///< A broken stream can be resumed on another server; only if `retryMode` allows retries.
    Duration timeout {}; ///< Maximum time until the response is complete.
    Duration latencyTarget {}; ///< Target time until the response, or the first event of a stream.
    Duration eventGapTarget {}; ///< Longest pause between events of a stream that is on time; 0 if not declared.
    std::uint32_t maxCallsPerRequest = 1; ///< Maximum number of calls to backend servers for one request.
    std::uint32_t priority = 0; ///< 0 is the most urgent.
    bool isPublic = false; ///< Requests need no credential.
    bool prefixAffinity = false; ///< Requests with a common prompt prefix benefit from the same server.
    std::vector<RouteTarget> targets;
    std::vector<RouteStage> stages;
    std::vector<StageIndex> stageOrder {}; ///< Each stage after those it depends on; set by `RouteTable::buildIndex`.
    std::set<std::string> allowedRegions {}; ///< Requests go only to servers in these regions; empty for all.
    bool usable = true; ///< Otherwise the route cannot be read as it is declared, and its requests are refused.
};

/// @brief Batching limits of a backend server, which processes pieces of several requests in one call.
struct BatchLimits {
    std::uint32_t slots = 1; ///< Calls that one server processes concurrently.
    std::uint32_t queueCapacity = 0; ///< Calls that can wait in the queue of one server.
    std::uint32_t maxPieces = 1; ///< Maximum number of pieces in one call.
    Duration callTime {}; ///< Fixed time of a call, without its pieces.
    Duration pieceTime {}; ///< Additional time for each piece of a call.
    Duration resultLifetime {}; ///< Time after which a server discards a result that was not released.
    std::uint64_t resultCapacityBytes = 0; ///< Memory for results on one server, in bytes.
};

/// @brief A service that is used by routes or their stages.
struct RoutedService {
    ServiceId id;
    std::optional<BatchLimits> batch; ///< Set for services of stages.
    std::uint32_t slots = 0; ///< Concurrent requests of one server; 0 if the servers report it themselves.
    std::uint64_t kvCacheTokens = 0; ///< KV cache size of one model engine, in tokens; 0 for other services.
    std::string healthPath {}; ///< Path of the health check of a server.
    Duration coldTime {}; ///< Time for which a server is cold after its start.
    double coldCallsPerSecond = 0; ///< Calls per second that a cold server can handle; 0 for no limit.
};

/// @brief The account that a credential belongs to.
struct CredentialOwner {
    ClientAccountId account;
    std::optional<std::uint32_t> priority; ///< Overrides the priority of the route.
    std::set<std::string> allowedRegions {}; ///< Requests go only to servers in these regions; empty for all.
    bool usable = true; ///< Otherwise the account cannot be read as it is declared, and its requests are refused.
};

/// @brief Limits for connections and requests of callers.
struct CallerLimits {
    std::uint64_t maxHeaderBytes = 16384;
    std::uint64_t maxBodyBytes = 1U << 20U;
    Duration headerTimeout = std::chrono::seconds(5);
    Duration idleTimeout = std::chrono::seconds(30);
};

/// @brief A validated route configuration; immutable once published.
struct RouteTable {
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::vector<RoutedService> services;
    std::unordered_map<std::string, CredentialOwner> credentials;
    bool needsCredentials = false; ///< Routes that are not public require a credential.
    CallerLimits limits;
    ConfigFaults faults {}; ///< Parts that cannot be read as they are written.

    /// @brief Returns the route of `host` with the longest prefix of `path`, also if it is not usable; null if
    /// there is none.
    const Route* findRoute(std::string_view host, std::string_view path) const;
    const RoutedService* findService(const ServiceId& id) const;
    /// @brief Builds the index that `findRoute` uses and orders the stages; must be called once, after `routes` is
    /// complete. The order lacks stages that depend on each other or on one that does not exist.
    void buildIndex();

private:
    std::unordered_map<std::string, std::vector<std::size_t>> m_routesByHost; ///< Indexes, longest prefix first.
};

} // namespace foxtailwheel::config
