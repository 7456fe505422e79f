#include "RoutingForwarder.h"

namespace foxtailwheel::serving {

namespace {

    using namespace std::chrono_literals;

    /// Retry-After hint if all servers that may serve a request are in drained zones.
    constexpr Duration drainedRetryAfter = 1s;

} // namespace

void RoutingForwarder::setDrainedZones(std::set<AvailabilityZoneId> zones, TimePoint now, ForwardActions& out)
{
    const auto before = m_directory.drainedZones();
    if (zones == before)
        return;
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

/// Returns whether a request needs a service whose servers are all in drained zones.
bool RoutingForwarder::needsDrainedService(const ForwardRun& run) const
{
    if (m_directory.isDrained(run.service))
        return true;
    for (StageIndex i = 0; i < run.stages.size(); ++i) {
        if (!run.stages[i].started && run.stages[i].missing > 0 && m_directory.isDrained(run.route->stages[i].service))
            return true;
    }
    return false;
}

/// Refuses a request at once if drained zones leave it no server.
bool RoutingForwarder::refuseIfDrained(ForwardRun& run, TimePoint now, ForwardActions& out)
{
    return needsDrainedService(run) && refuseDrained(run, now, out);
}

/// Refuses a request that drained zones leave no server. A stream that has begun waits for as long as it can be
/// resumed, since the zone may be restored.
bool RoutingForwarder::refuseDrained(ForwardRun& run, TimePoint now, ForwardActions& out)
{
    if (now < resumableUntil(run))
        return false;
    if (run.mayHaveRun || run.headSent)
        fail(run, ForwardOutcome::BackendFailed, now, out);
    else
        refuse(run, ForwardOutcome::ZonesDrained, drainedRetryAfter, now, out);
    return true;
}

} // namespace foxtailwheel::serving
