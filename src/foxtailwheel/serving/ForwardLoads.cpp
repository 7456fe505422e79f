#include "RoutingForwarder.h"
#include "foxtailwheel/base/Hash.h"

#include <algorithm>

namespace foxtailwheel::serving {

routing::EngineDemand engineDemandOf(const ForwardRequest& request)
{
    routing::EngineDemand demand;
    for (const auto& it : request.prompt)
        demand.prompt.push_back({ affinityKeyOf(it.id), it.tokens });
    // Tokens that the list of parts does not name belong to this request only.
    if (const auto listed = demand.promptTokens(); request.tokens.prompt > listed)
        demand.prompt.push_back({ 0, request.tokens.prompt - listed });
    demand.outputTokens = request.tokens.expectedOutput > 0 ? request.tokens.expectedOutput : request.tokens.maxOutput;
    return demand;
}

/// Notes what a server of a service with scheduling reported, for this instance and for the others.
void RoutingForwarder::shareLoad(
    const BackendServerId& server, const ReportedLoad& load, ServiceState& state, TimePoint now)
{
    state.callsAtFullServers += load.queued > 0 ? 1 : 0;
    const routing::SharedLoad report { hashOf(server.value()), load.running, load.queued, load.slowdown.value_or(1),
        {} };
    if (m_loadExchange.add(report, now))
        state.evenLoad.onReport(report, now);
}

void RoutingForwarder::shareTimeRatio(const BackendServerId& server, std::optional<double> ratio)
{
    if (ratio)
        m_loadExchange.setTimeRatio(hashOf(server.value()), *ratio);
}

std::vector<routing::SharedLoad> RoutingForwarder::loadReports(TimePoint now)
{
    return isAnyServiceScheduled() ? m_loadExchange.newest(now) : std::vector<routing::SharedLoad>();
}

std::vector<ServiceLoad> RoutingForwarder::serviceLoads(TimePoint now) const
{
    std::vector<ServiceLoad> loads;
    for (const auto& [service, state] : m_directory.services()) {
        if (isScheduled(service) && !state.batchQueue)
            loads.push_back({ service, state.evenLoad.knownLoad(now), state.callsAtFullServers });
    }
    return loads;
}

void RoutingForwarder::onSharedLoads(const std::vector<routing::SharedLoad>& reports, TimePoint now)
{
    if (m_options.scheduling == SchedulingMode::Off)
        return;
    for (const auto& report : reports) {
        if (!m_loadExchange.add(report, now))
            continue;
        for (auto& it : m_directory.services())
            it.second.evenLoad.onReport(report, now);
    }
}

} // namespace foxtailwheel::serving
