#pragma once

#include "foxtailwheel/limits/SlidingWindowRetryBudget.h"
#include "foxtailwheel/routing/EvenLoad.h"
#include "foxtailwheel/serving/ColdStarts.h"
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
    /// @brief Sets the drained zones, whose servers get no new calls. Zones that are no longer among them count as
    /// restored now.
    void setDrainedZones(std::set<AvailabilityZoneId> zones, TimePoint now);
    const std::set<AvailabilityZoneId>& drainedZones() const { return m_drainedZones; }
    /// @brief Returns true if all servers of a service in the allowed zones that are not leaving are in drained zones;
    /// false if it has none there.
    bool isDrained(const ServiceId& service, const std::optional<std::set<AvailabilityZoneId>>& allowedZones) const;
    /// @brief Returns true if a service has a server in these zones that is not leaving, even if its zone is drained.
    bool hasServerIn(const ServiceId& service, const std::set<AvailabilityZoneId>& zones) const;
    /// @brief Returns the traffic of restored zones.
    const routing::ZoneRamp& ramp() const { return m_ramp; }
    /// @brief Sets the live instances, which share the retry budgets and the calls to cold servers.
    void setInstances(const std::vector<InstanceId>& live, TimePoint now);
    /// @brief A server is cold for `time`.
    void markCold(const BackendServerId& server, Duration time, TimePoint now);
    /// @brief A call to a server broke off, so the server may have restarted.
    void suspectCold(const BackendServerId& server, TimePoint now);
    /// @brief Returns the servers that are cold, for other instances.
    std::vector<routing::ColdNotice> coldServers(TimePoint now);
    /// @brief Handles what another instance said of cold servers.
    void onColdServers(const std::vector<routing::ColdNotice>& notices, TimePoint now);

    /// @brief Returns the service, or null if it is unknown.
    ServiceState* find(const ServiceId& id);
    const ServiceState* find(const ServiceId& id) const;
    /// @brief Returns a weight for each zone that has servers of `target`: the smallest share of servers that the zone
    /// has in any of `stages`. Zones of weight 0 are left out.
    std::map<AvailabilityZoneId, double> zoneShares(const std::vector<ServiceId>& stages, const ServiceId& target);
    /// @brief Returns the number of calls that cold servers were left out of.
    std::uint64_t coldCallsHeld() const;
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
    void updateColdStarts(const ServiceId& id);
    void updateColdCalls(const BackendServerId& server, const std::function<void(routing::ColdCallLimiter&)>& update);
    void applyColdNotices(const ServiceId& id, TimePoint now);
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
    std::set<AvailabilityZoneId> m_drainedZones;
    std::map<AvailabilityZoneId, TimePoint> m_restoredAt;
    routing::ZoneRamp m_ramp;
    ColdStarts m_coldStarts;
    routing::ColdNotices m_coldNotices;
    std::vector<InstanceId> m_instances;
    std::size_t m_instanceCount = 1;
    TimePoint m_lastUpdateAt {}; ///< Latest time that was passed in with servers or instances.
};

} // namespace foxtailwheel::serving
