#pragma once

#include "foxtailwheel/limits/WindowBudget.h"
#include "foxtailwheel/serving/Forwarder.h"

#include <functional>
#include <map>
#include <memory>

namespace foxtailwheel::serving {

/// @brief One routed service: its servers, the budget of repeated calls, and the queue of its pieces.
struct ServiceState {
    std::unique_ptr<routing::ServerPool> pool;
    limits::WindowBudget retryBudget;
    std::unique_ptr<BatchQueue> batchQueue; ///< Present for services of stages.
    std::vector<AnnouncedServer> announced;
};

/// @brief The services that are routed to, kept in step with the configuration and the announced servers.
class ServerDirectory {
public:
    /// @param newCall Gives the number of the next call.
    ServerDirectory(const ForwarderOptions& options, std::function<CallId()> allocateCallId);

    /// @brief Takes the services of a configuration; those that stay keep what is known of them.
    void configure(const config::RouteTable& table);
    /// @brief Replaces the announced servers.
    void setServers(const std::vector<AnnouncedServer>& servers);
    /// @brief Sets the number of live instances, which share budgets and slots.
    void setInstanceCount(std::size_t n);

    /// @brief The service, or null where the configuration does not name it.
    ServiceState* find(const ServiceId& id);
    /// @brief Share of each zone in the servers of the scarcest of `stages`, for zones that have servers of `target`.
    std::map<AvailabilityZoneId, double> zoneShares(const std::vector<ServiceId>& stages, const ServiceId& target);
    /// @brief All services, in the order of their names.
    std::map<ServiceId, ServiceState>& services() { return m_services; }

private:
    ServiceState makeState(const config::RoutedService& service);
    config::Service toService(const config::RoutedService& service, const std::vector<AnnouncedServer>& servers) const;
    config::Declarations crossZoneLinks(const std::vector<AnnouncedServer>& servers) const;
    void updateService(const config::RoutedService& service, ServiceState& state);

    const ForwarderOptions& m_options;
    std::function<CallId()> m_allocateCallId;
    std::map<ServiceId, ServiceState> m_services;
    std::map<ServiceId, config::RoutedService> m_routedServices;
    std::map<ServiceId, std::vector<AnnouncedServer>> m_announced;
    std::size_t m_instanceCount = 1;
};

} // namespace foxtailwheel::serving
