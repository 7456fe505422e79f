#pragma once

#include "foxtailwheel/base/Ids.h"
#include "foxtailwheel/base/Units.h"
#include "foxtailwheel/config/Fault.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace foxtailwheel::config {

/// @brief Type of a service, which determines how its backend servers are called.
enum class ServiceKind { Encoder, Retriever, Reranker, ModelEngine, Plain };

/// @brief Returns the name of a kind as it is written in the declarations.
std::string_view toString(ServiceKind kind);

/// @brief Whether the model engines of a service check or ignore the fencing token of an order.
enum class Fencing { Checked, Ignored };

/// @brief A backend server of one service.
struct BackendServer {
    BackendServerId id;
    std::string host; ///< Numeric IPv4 address.
    std::uint16_t port = 0;
    AvailabilityZoneId zone;
    WallTime startedAt {}; ///< Tells processes with the same id apart; unset if it is not known.

    friend bool operator==(const BackendServer&, const BackendServer&) = default;
};

/// @brief A service: a pool of interchangeable backend servers.
struct Service {
    ServiceId id;
    ServiceKind kind = ServiceKind::Plain;
    std::vector<ServiceId> dependsOn;
    bool idempotent = true;
    Duration typicalTime {}; ///< Expected service time of one call, used until measurements are available.
    std::uint32_t concurrency = 1; ///< Calls that one backend server processes concurrently.
    Cost price; ///< Price of one attempt.
    double costWeight = 0; ///< Expected latency that load balancing trades for cost, in ms per milli-credit.
    Fencing fencing = Fencing::Checked;
    std::string model; ///< Model that the model engines should load; empty for none.
    std::vector<BackendServer> servers;

    friend bool operator==(const Service&, const Service&) = default;
};

/// @brief A pipeline, defined by the service whose response the caller receives; its dependencies are the earlier
/// stages.
struct Pipeline {
    PipelineId id;
    ServiceId result;
    Duration deadline {}; ///< Maximum and default deadline of a request.
    std::uint32_t priority = 0; ///< 0 is the most urgent.

    friend bool operator==(const Pipeline&, const Pipeline&) = default;
};

/// @brief A client account with its fair-share weight and rate limit.
struct ClientAccount {
    ClientAccountId id;
    double weight = 1;
    double ratePerSecond = 0; ///< Requests per second summed over all instances; 0 means no limit.
    std::string credentialSha256; ///< SHA-256 hash of the credential, as 64 lower-case hexadecimal digits.

    friend bool operator==(const ClientAccount&, const ClientAccount&) = default;
};

/// @brief An availability zone.
struct Zone {
    AvailabilityZoneId id;
    std::string region;
    bool drained = false; ///< Its servers get no new calls.

    friend bool operator==(const Zone&, const Zone&) = default;
};

/// @brief A link between two availability zones.
struct Link {
    AvailabilityZoneId from;
    AvailabilityZoneId to;
    Duration oneWay {};
    Cost price; ///< Price of one call that crosses the link.

    friend bool operator==(const Link&, const Link&) = default;
};

/// @brief All declarations of the operators, validated together.
struct Declarations {
    std::vector<Zone> zones;
    std::vector<Link> links;
    std::vector<Service> services;
    std::vector<Pipeline> pipelines;
    std::vector<ClientAccount> accounts;

    const Service* findService(const ServiceId& id) const;
    const Pipeline* findPipeline(const PipelineId& id) const;
    const ClientAccount* findAccount(const ClientAccountId& id) const;
    /// @brief Returns the link between two zones in either direction; null if the zones are the same or not linked.
    const Link* findLink(const AvailabilityZoneId& a, const AvailabilityZoneId& b) const;

    friend bool operator==(const Declarations&, const Declarations&) = default;
};

/// @brief Result of parsing: complete declarations without faults, or all faults that were found.
struct ParsedDeclarations {
    Declarations declarations;
    Faults faults;

    bool valid() const { return faults.empty(); }
};

/// @brief Parses and validates declarations.
/// @param text YAML, at most 16 MiB.
ParsedDeclarations parseDeclarations(const std::string& text);

/// @brief Returns `result` and its transitive dependencies in topological order, dependencies first.
std::vector<ServiceId> dependencyOrder(const Declarations& declarations, const ServiceId& result);

} // namespace foxtailwheel::config
