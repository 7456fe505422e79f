#include "RoutingForwarder.h"

#include <algorithm>

namespace foxtailwheel::serving {

namespace {

    using namespace std::chrono_literals;

    /// Retry-After hint if drained zones or the allowed regions of a request leave it no server.
    constexpr Duration withoutServerRetryAfter = 1s;

} // namespace

void RoutingForwarder::setDrainedZones(std::set<AvailabilityZoneId> zones, TimePoint now, ForwardActions& out)
{
    if (zones == m_directory.drainedZones())
        return;
    const auto before = m_directory.drainedZones();
    for (const auto& it : zones) {
        if (!before.contains(it))
            logServerDecision("zone_drained", { { "zone", it.value() } });
    }
    for (const auto& it : before) {
        if (!zones.contains(it))
            logServerDecision("zone_restored", { { "zone", it.value() } });
    }
    m_directory.setDrainedZones(std::move(zones), now);
    dispatchAll(now, out);
}

/// Limits a request to the servers in `regions`, and to those that it was limited to before; empty for all regions.
void RoutingForwarder::restrictToRegions(ForwardRun& run, const std::set<std::string>& regions) const
{
    if (regions.empty())
        return;
    std::set<AvailabilityZoneId> zones;
    for (const auto& [zone, region] : m_options.zoneRegions) {
        if (regions.contains(region) && (!run.allowedZones || run.allowedZones->contains(zone)))
            zones.insert(zone);
    }
    run.allowedZones = std::move(zones);
}

/// Returns the services that a request still needs.
std::vector<ServiceId> RoutingForwarder::neededServices(const ForwardRun& run) const
{
    std::vector<ServiceId> services { run.service };
    for (StageIndex i = 0; i < run.stages.size(); ++i) {
        if (!run.stages[i].started && run.stages[i].missing > 0)
            services.push_back(run.route->stages[i].service);
    }
    return services;
}

/// Refuses a request at once if drained zones or its allowed regions leave it no server of one of the services. A
/// stream that has begun waits for as long as it can be resumed, since a zone may be restored.
bool RoutingForwarder::refuseIfWithoutServer(
    ForwardRun& run, const std::vector<ServiceId>& services, TimePoint now, ForwardActions& out)
{
    const bool isDrained = std::any_of(services.begin(), services.end(),
        [&](const ServiceId& it) { return m_directory.isDrained(it, run.allowedZones); });
    const bool isForbidden = run.allowedZones
        && std::any_of(services.begin(), services.end(),
            [&](const ServiceId& it) { return !m_directory.hasServerIn(it, *run.allowedZones); });
    if ((!isDrained && !isForbidden) || now < resumableUntil(run))
        return false;
    if (run.mayHaveRun || run.headSent)
        fail(run, ForwardOutcome::BackendFailed, now, out);
    else
        refuse(run, isForbidden ? ForwardOutcome::NoServerInRegion : ForwardOutcome::ZonesDrained,
            withoutServerRetryAfter, now, out);
    return true;
}

} // namespace foxtailwheel::serving
