#pragma once

#include "foxtailwheel/base/Ids.h"
#include "foxtailwheel/base/Units.h"
#include "foxtailwheel/config/Fault.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace foxtailwheel::config {

/// @brief What a service does, which decides how its backend servers are called.
enum class ServiceKind { Encoder, Retriever, Reranker, ModelEngine, Plain };

/// @brief Name of a kind as it is written in the declarations.
std::string_view toString(ServiceKind kind);

/// @brief How the engines of a pool treat the fencing number of an order.
enum class Fencing { Checked, Ignored };

/// @brief A backend server of one service.
struct BackendServer {
    BackendServerId id;
    std::string host; ///< Address as numbers.
    std::uint16_t port = 0;
    AvailabilityZoneId zone;

    friend bool operator==(const BackendServer&, const BackendServer&) = default;
};

/// @brief A service: a pool of backend servers that are used alike.
struct Service {
    ServiceId id;
    ServiceKind kind = ServiceKind::Plain;
    std::vector<ServiceId> dependsOn;
    bool idempotent = true;
    Duration typicalTime {}; ///< Service time of one call, used until it is measured.
    std::uint32_t concurrency = 1; ///< Calls that one backend server works on at once.
    Cost price; ///< Price of one attempt.
    double costWeight = 0; ///< Milliseconds of expected time that one milli-credit is worth when choosing.
    Fencing fencing = Fencing::Checked;
    std::string model; ///< Desired model of a model engine; empty for none.
    std::vector<BackendServer> servers;

    friend bool operator==(const Service&, const Service&) = default;
};

/// @brief A pipeline: the service whose answer the caller gets, and by its dependencies all stages before it.
struct Pipeline {
    PipelineId id;
    ServiceId result;
    Duration deadline {}; ///< Longest deadline that a caller may ask for, and the default.
    std::uint32_t priority = 0; ///< 0 is the most urgent.

    friend bool operator==(const Pipeline&, const Pipeline&) = default;
};

/// @brief A client account, with its share and its limit.
struct ClientAccount {
    ClientAccountId id;
    double weight = 1;
    double ratePerSecond = 0; ///< Requests per second over all instances; 0 means no limit.
    std::string credentialSha256; ///< SHA-256 of the credential, in hexadecimal digits.

    friend bool operator==(const ClientAccount&, const ClientAccount&) = default;
};

/// @brief An availability zone.
struct Zone {
    AvailabilityZoneId id;
    std::string region;

    friend bool operator==(const Zone&, const Zone&) = default;
};

/// @brief A link between two availability zones.
struct Link {
    AvailabilityZoneId from;
    AvailabilityZoneId to;
    Duration oneWay {};
    Cost price; ///< Price of one call over the link.

    friend bool operator==(const Link&, const Link&) = default;
};

/// @brief Everything that operators declare, checked as a whole.
struct Declarations {
    std::vector<Zone> zones;
    std::vector<Link> links;
    std::vector<Service> services;
    std::vector<Pipeline> pipelines;
    std::vector<ClientAccount> accounts;

    const Service* findService(const ServiceId& id) const;
    const Pipeline* findPipeline(const PipelineId& id) const;
    const ClientAccount* findAccount(const ClientAccountId& id) const;
    /// @brief The link between two zones in either direction; null for the same or an undeclared pair.
    const Link* findLink(const AvailabilityZoneId& a, const AvailabilityZoneId& b) const;

    friend bool operator==(const Declarations&, const Declarations&) = default;
};

/// @brief Outcome of reading a text: either no fault and whole declarations, or every fault.
struct ParsedDeclarations {
    Declarations declarations;
    Faults faults;

    bool valid() const { return faults.empty(); }
};

/// @brief Reads and checks the operators' text.
/// @param text YAML, at most 16 MiB.
ParsedDeclarations parseDeclarations(const std::string& text);

/// @brief The services that `result` needs, itself included, each after its dependencies.
std::vector<ServiceId> dependencyOrder(const Declarations& declarations, const ServiceId& result);

} // namespace foxtailwheel::config
