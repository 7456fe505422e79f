#pragma once

#include "foxtailwheel/base/Ids.h"
#include "foxtailwheel/base/Units.h"
#include "foxtailwheel/config/Declarations.h"

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace foxtailwheel::config {

/// @brief What may be done again with the requests of a route.
enum class Repeat {
    Freely, ///< A request may run more than once.
    Never, ///< A request runs at most once.
};

/// @brief One service of a route with its share of the requests.
struct RouteTarget {
    ServiceId service;
    double weight = 1; ///< Against the other targets of the route.
};

/// @brief Work that is done in pieces before the request itself can run.
struct RouteStage {
    ServiceId service;
    std::vector<StageIndex> needs; ///< Stages whose results the pieces take.
    std::uint64_t resultBytes = 0; ///< Approximate size of one piece's result.
};

/// @brief Requests that are passed on unchanged to the services of a route, found by host and leading path.
struct Route {
    std::string name;
    std::string host;
    std::string prefix; ///< Begins and ends with a slash.
    Repeat repeat = Repeat::Never;
    bool streams = false; ///< The answer is a series of events.
    bool resumable = false; ///< A broken stream may go on at another server; only where `repeat` allows it.
    Duration timeLimit {}; ///< Longest time until the whole answer.
    Duration goal {}; ///< Time within which the answer, or the first event, is wanted.
    std::uint32_t maxServers = 1; ///< Most backend servers that one request is sent to.
    std::uint32_t priority = 0; ///< 0 is the most urgent.
    bool isPublic = false; ///< Needs no credential.
    bool prefixAffinity = false; ///< Requests that share leading parts of a prompt gain from the same server.
    std::vector<RouteTarget> targets;
    std::vector<RouteStage> stages;
};

/// @brief How a backend server takes pieces of several requests in one call.
struct BatchLimits {
    std::uint32_t slots = 1; ///< Calls that one server works on at once.
    std::uint32_t queue = 0; ///< Calls that may wait at one server.
    std::uint32_t pieces = 1; ///< Most pieces of one call.
    Duration callTime {}; ///< Time of a call without its pieces.
    Duration pieceTime {}; ///< Time that each piece adds.
    Duration resultLife {}; ///< Time that a server keeps a result that nobody releases.
    std::uint64_t resultRoomBytes = 0; ///< Room for results at one server.
};

/// @brief A service that routes or their stages name.
struct RoutedService {
    ServiceId id;
    std::optional<BatchLimits> batch; ///< Present for services of stages.
    std::uint32_t slots = 0; ///< Requests that one server works on at once; 0 where the servers say it themselves.
    std::uint64_t promptRoomTokens = 0; ///< Memory for prompts at one model engine; 0 for other services.
};

/// @brief The account that a credential belongs to.
struct CredentialOwner {
    ClientAccountId account;
    std::optional<std::uint32_t> priority; ///< Goes before the route's priority.
};

/// @brief Limits towards callers.
struct CallerLimits {
    std::uint64_t headerBytes = 16384;
    std::uint64_t bodyBytes = 1U << 20U;
    Duration headerTimeout = std::chrono::seconds(5);
    Duration idleTimeout = std::chrono::seconds(30);
};

/// @brief One accepted configuration of routes, never changed once made.
struct RouteTable {
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::vector<RoutedService> services;
    std::unordered_map<std::string, CredentialOwner> credentials;
    bool needsCredentials = false; ///< Routes that are not public need one.
    CallerLimits limits;

    /// @brief The route of `host` with the longest prefix that begins `path`; null where none does.
    const Route* findRoute(std::string_view host, std::string_view path) const;
    const RoutedService* findService(const ServiceId& id) const;
    /// @brief Makes the index that `findRoute` uses; called once, after `routes` is complete.
    void index();

private:
    std::unordered_map<std::string, std::vector<std::size_t>> m_byHost; ///< Longest prefix first.
};

} // namespace foxtailwheel::config
