#pragma once

#include "foxtailwheel/limits/SlidingWindowRetryBudget.h"
#include "foxtailwheel/routing/EvenLoad.h"
#include "foxtailwheel/serving/Forwarder.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace foxtailwheel::serving {

/// @brief One routed service: its server pool, retry budget and queue of pieces.
struct ServiceState {
    std::unique_ptr<routing::ServerPool> pool;
    limits::SlidingWindowRetryBudget retryBudget;
    std::unique_ptr<BatchQueue> batchQueue; ///< Null for services that no stage uses.
    std::vector<AnnouncedServer> announced;
    std::string healthPath;
    TimePoint lastCheckAt {}; ///< Of any server of the service.
    bool reportsSlowdown = false; ///< A server has reported how slow its machine is.
    routing::EvenLoad evenLoad {}; ///< Used where scheduling is on.
    std::uint64_t callsAtFullServers = 0; ///< Own calls whose server reported waiting calls.
};

/// @brief Tracks the routed services, following the configuration and the announced servers.
class ServerDirectory {
public:
    /// @param allocateCallId Returns the id for the next call.
    ServerDirectory(const ForwarderOptions& options, std::function<CallId()> allocateCallId);

    /// @brief Applies the services of a configuration. Existing services keep their state.
    void configure(const config::RouteTable& table);
    /// @brief Replaces the announced servers.
    void setServers(const std::vector<AnnouncedServer>& servers, TimePoint now);
    /// @brief Returns the announced servers at an address, without the one named `except`.
    std::vector<AnnouncedServer> serversAt(
        const std::string& host, std::uint16_t port, const BackendServerId& except) const;
    /// @brief Returns an announced server, or null.
    const AnnouncedServer* findServer(const BackendServerId& id) const;
    /// @brief Stops new calls to a server until another process is announced under its id.
    /// @return False if it was known to be leaving.
    bool markLeaving(const LeavingServer& server, TimePoint now);
    /// @brief Sets the number of live instances, which share the retry budgets.
    void setInstanceCount(std::size_t n);

    /// @brief Returns the service, or null if it is unknown.
    ServiceState* find(const ServiceId& id);
    const ServiceState* find(const ServiceId& id) const;
    /// @brief Returns a weight for each zone that has servers of `target`: the smallest share of servers that the zone
    /// has in any of `stages`. Zones of weight 0 are left out.
    std::map<AvailabilityZoneId, double> zoneShares(const std::vector<ServiceId>& stages, const ServiceId& target);
    /// @brief Returns all services, ordered by id.
    std::map<ServiceId, ServiceState>& services() { return m_services; }
    const std::map<ServiceId, ServiceState>& services() const { return m_services; }

private:
    ServiceState makeState(const config::RoutedService& service);
    /// Builds the declaration that a server pool is created from.
    config::Service toService(const config::RoutedService& service, const std::vector<AnnouncedServer>& servers) const;
    /// Returns declarations that hold only the links from this instance's zone to the zones of `servers`.
    config::Declarations crossZoneLinks(const std::vector<AnnouncedServer>& servers) const;
    void updateService(const config::RoutedService& service, ServiceState& state);
    void updateLeaving(const ServiceId& id);
    bool isLeaving(const AnnouncedServer& server) const;

    const ForwarderOptions& m_options;
    std::function<CallId()> m_allocateCallId;
    std::map<ServiceId, ServiceState> m_services;
    std::map<ServiceId, config::RoutedService> m_routedServices;
    std::map<ServiceId, std::vector<AnnouncedServer>> m_announced;
    struct LeavingMark {
        WallTime startedAt;
        TimePoint markedAt;
        std::optional<config::BackendServer> server; ///< As it was announced then.
    };
    std::map<BackendServerId, LeavingMark> m_leaving; ///< By their own word, not by their entry.
    std::size_t m_instanceCount = 1;
};

} // namespace foxtailwheel::serving
