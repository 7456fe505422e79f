#include "ServerDirectory.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace foxtailwheel::serving {

namespace {

    using namespace std::chrono_literals;

    /// Assumed duration of a plain call until measurements are available.
    constexpr Duration typicalCallTime = 20ms;
    /// Time for which a server without an entry is remembered as leaving.
    constexpr Duration leavingRetention = 10min;

    /// Returns the fraction of all servers that are in `zone`.
    double shareOf(const std::map<AvailabilityZoneId, std::size_t>& servers, const AvailabilityZoneId& zone)
    {
        double all = 0;
        for (const auto& it : servers)
            all += static_cast<double>(it.second);
        const auto found = servers.find(zone);
        return found == servers.end() || all == 0 ? 0 : static_cast<double>(found->second) / all;
    }

} // namespace

ServerDirectory::ServerDirectory(const ForwarderOptions& options, std::function<CallId()> allocateCallId)
    : m_options(options)
    , m_allocateCallId(std::move(allocateCallId))
{
}

config::Service ServerDirectory::toService(
    const config::RoutedService& service, const std::vector<AnnouncedServer>& servers) const
{
    config::Service out;
    out.id = service.id;
    out.kind = service.kvCacheTokens > 0 ? config::ServiceKind::ModelEngine : config::ServiceKind::Plain;
    out.typicalTime = service.batch ? service.batch->callTime + service.batch->pieceTime : typicalCallTime;
    out.concurrency = service.batch ? service.batch->slots : service.slots;
    for (const auto& it : servers) {
        out.servers.push_back(it.server);
        out.servers.back().startedAt = it.startedAt;
        if (out.concurrency == 0)
            out.concurrency = it.slots;
    }
    out.concurrency = std::max(1U, out.concurrency);
    return out;
}

config::Declarations ServerDirectory::crossZoneLinks(const std::vector<AnnouncedServer>& servers) const
{
    config::Declarations out;
    const auto& own = m_options.pools.zone;
    for (const auto& it : servers) {
        if (it.server.zone != own && out.findLink(own, it.server.zone) == nullptr)
            out.links.push_back({ own, it.server.zone, m_options.crossZoneDelay, {} });
    }
    return out;
}

ServiceState ServerDirectory::makeState(const config::RoutedService& service)
{
    auto pool = routing::ServerPool::create(toService(service, {}), {}, m_options.pools);
    pool->setRestoredZones(m_restoredAt);
    if (m_lastUpdateAt != TimePoint {})
        pool->updateColdCalls([this](auto& limiter) { limiter.setLiveInstances(m_instances, m_lastUpdateAt); });
    limits::SlidingWindowRetryBudget retryBudget(
        m_options.retryBudgetFraction, m_options.retryBudgetReserve, m_options.retryBudgetWindow);
    retryBudget.setInstanceCount(m_instanceCount);
    return { std::move(pool), std::move(retryBudget), {}, {}, {}, {}, false };
}

void ServerDirectory::updateService(const config::RoutedService& service, ServiceState& state)
{
    const auto& servers = m_announced[service.id];
    state.announced = servers;
    state.healthPath = service.healthPath;
    const auto declared = toService(service, servers);
    std::vector<BackendServerId> ids;
    for (const auto& it : servers)
        ids.push_back(it.server.id);
    state.evenLoad.configure(ids, declared.concurrency, service.kvCacheTokens);
    state.evenLoad.setInstanceCount(m_instanceCount);
    state.pool->update(declared, crossZoneLinks(servers));
    updateLeaving(service.id);
    updateColdStarts(service.id);
    if (!service.batch)
        return;
    if (state.batchQueue) {
        state.batchQueue->setLimits(*service.batch);
        return;
    }
    state.batchQueue = std::make_unique<BatchQueue>(service.id, *service.batch, *state.pool,
        BatchQueueCallbacks { m_allocateCallId, [this, id = service.id](std::size_t n, TimePoint now) {
                                 return find(id)->retryBudget.tryAcquire(n, now);
                             } });
    state.batchQueue->setDrained(isDrained(service.id, std::nullopt));
}

void ServerDirectory::updateLeaving(const ServiceId& id)
{
    std::set<BackendServerId> leaving;
    for (const auto& it : m_announced[id]) {
        if (isLeaving(it) || m_drainedZones.contains(it.server.zone))
            leaving.insert(it.server.id);
    }
    auto& state = m_services.at(id);
    state.pool->setLeaving(leaving);
    if (state.batchQueue)
        state.batchQueue->setDrained(isDrained(id, std::nullopt));
}

void ServerDirectory::updateColdStarts(const ServiceId& id)
{
    const auto& service = m_routedServices.at(id);
    m_services.at(id).pool->updateColdCalls([&](routing::ColdCallLimiter& limiter) {
        limiter.setLimits({ service.coldCallsPerSecond, service.coldTime });
        for (const auto& it : m_announced[id])
            limiter.setColdByEntry(
                it.server.id, m_coldStarts.coldUntil(it.server.id, service.coldTime), m_lastUpdateAt);
    });
    applyColdNotices(id, m_lastUpdateAt);
}

/// A notice may arrive before the entry of its server, so it is applied again when servers are announced.
void ServerDirectory::applyColdNotices(const ServiceId& id, TimePoint now)
{
    if (!m_coldNotices.hasHeard() || m_routedServices.at(id).coldCallsPerSecond <= 0)
        return;
    m_services.at(id).pool->updateColdCalls([&](routing::ColdCallLimiter& limiter) {
        limiter.onNoticesHeard();
        for (const auto& it : m_announced[id])
            limiter.setColdByNotice(it.server.id, m_coldNotices.coldUntil(it.server.id), now);
    });
}

std::vector<routing::ColdNotice> ServerDirectory::coldServers(TimePoint now)
{
    std::vector<routing::ColdNotice> notices;
    for (const auto& it : m_services)
        it.second.pool->updateColdCalls([&](const auto& limiter) { limiter.addNotices(notices, now); });
    return routing::selectForMessage(std::move(notices));
}

void ServerDirectory::onColdServers(const std::vector<routing::ColdNotice>& notices, TimePoint now)
{
    m_coldNotices.add(notices, now);
    for (const auto& it : m_services)
        applyColdNotices(it.first, now);
}

void ServerDirectory::updateColdCalls(
    const BackendServerId& server, const std::function<void(routing::ColdCallLimiter&)>& update)
{
    const auto* announced = findServer(server);
    auto* state = announced == nullptr ? nullptr : find(announced->service);
    if (state != nullptr)
        state->pool->updateColdCalls(update);
}

void ServerDirectory::markCold(const BackendServerId& server, Duration time, TimePoint now)
{
    updateColdCalls(server, [&](auto& limiter) { limiter.markCold(server, time, now); });
}

void ServerDirectory::suspectCold(const BackendServerId& server, TimePoint now)
{
    updateColdCalls(server, [&](auto& limiter) { limiter.suspectCold(server, now); });
}

bool ServerDirectory::isLeaving(const AnnouncedServer& server) const
{
    if (server.leaving)
        return true;
    const auto found = m_leaving.find(server.server.id);
    if (found == m_leaving.end())
        return false;
    const auto& mark = found->second;
    return mark.startedAt == server.startedAt && (!mark.server || *mark.server == server.server);
}

const AnnouncedServer* ServerDirectory::findServer(const BackendServerId& id) const
{
    for (const auto& [service, servers] : m_announced) {
        for (const auto& it : servers) {
            if (it.server.id == id)
                return &it;
        }
    }
    return nullptr;
}

std::vector<AnnouncedServer> ServerDirectory::serversAt(
    const std::string& host, std::uint16_t port, const BackendServerId& except) const
{
    std::vector<AnnouncedServer> found;
    for (const auto& [service, servers] : m_announced) {
        std::copy_if(servers.begin(), servers.end(), std::back_inserter(found), [&](const AnnouncedServer& it) {
            return it.server.host == host && it.server.port == port && it.server.id != except;
        });
    }
    return found;
}

bool ServerDirectory::markLeaving(const LeavingServer& server, TimePoint now)
{
    const auto* announced = findServer(server.server);
    const LeavingMark mark { server.startedAt, now,
        announced == nullptr ? std::nullopt : std::optional(announced->server) };
    const auto [known, isNew] = m_leaving.try_emplace(server.server, mark);
    if (!isNew) {
        if (known->second.startedAt > mark.startedAt
            || (known->second.startedAt == mark.startedAt && known->second.server == mark.server))
            return false;
        known->second = mark;
    }
    if (announced != nullptr && m_services.contains(announced->service))
        updateLeaving(announced->service);
    return true;
}

void ServerDirectory::configure(const config::RouteTable& table)
{
    // Removed services keep their state, since requests that started under an older configuration may still use them.
    for (const auto& it : table.services) {
        m_routedServices[it.id] = it;
        auto found = m_services.find(it.id);
        if (found == m_services.end())
            found = m_services.emplace(it.id, makeState(it)).first;
        updateService(it, found->second);
    }
}

std::map<AvailabilityZoneId, double> ServerDirectory::zoneShares(
    const std::vector<ServiceId>& stages, const ServiceId& target)
{
    std::map<AvailabilityZoneId, double> shares;
    const auto* state = find(target);
    if (state == nullptr)
        return shares;
    for (const auto& it : state->pool->serversByZone()) {
        double share = 1;
        for (const auto& stage : stages) {
            if (const auto* stageState = find(stage))
                share = std::min(share, shareOf(stageState->pool->serversByZone(), it.first));
        }
        if (share > 0)
            shares[it.first] = share;
    }
    return shares;
}

void ServerDirectory::setServers(const std::vector<AnnouncedServer>& servers, TimePoint now)
{
    std::set<BackendServerId> ids;
    for (const auto& it : servers)
        ids.insert(it.server.id);
    // An entry that expired while the store was unavailable may be announced again. Without a start time it can't be
    // told from that of another process, so its id is free again.
    std::erase_if(m_leaving, [&](const auto& it) {
        const auto& mark = it.second;
        return !ids.contains(it.first) && (mark.startedAt == WallTime {} || now - mark.markedAt > leavingRetention);
    });
    m_coldStarts.update(
        servers, now, m_options.epoch + std::chrono::floor<std::chrono::milliseconds>(now.time_since_epoch()));
    m_lastUpdateAt = now;
    std::map<ServiceId, std::vector<AnnouncedServer>> byService;
    for (const auto& it : servers)
        byService[it.service].push_back(it);
    std::swap(m_announced, byService);
    for (auto& [id, state] : m_services) {
        if (m_announced[id] != state.announced)
            updateService(m_routedServices.at(id), state);
    }
}

void ServerDirectory::setDrainedZones(std::set<AvailabilityZoneId> zones, TimePoint now)
{
    std::erase_if(m_restoredAt, [&zones](const auto& it) { return zones.contains(it.first); });
    for (const auto& it : m_drainedZones) {
        if (!zones.contains(it))
            m_restoredAt[it] = now;
    }
    const auto isRestoredNow = [before = std::exchange(m_drainedZones, std::move(zones)), this](const auto& zone) {
        return before.contains(zone) && !m_drainedZones.contains(zone);
    };
    m_ramp.setRestored(m_restoredAt);
    for (auto& [id, state] : m_services) {
        state.pool->setRestoredZones(m_restoredAt);
        updateLeaving(id);
        state.pool->updateColdCalls([&, &servers = m_announced[id]](routing::ColdCallLimiter& limiter) {
            for (const auto& it : servers) {
                if (isRestoredNow(it.server.zone))
                    limiter.markCold(it.server.id, now);
            }
        });
    }
}

bool ServerDirectory::hasServerIn(const ServiceId& service, const std::set<AvailabilityZoneId>& zones) const
{
    const auto found = m_announced.find(service);
    return found != m_announced.end()
        && std::any_of(found->second.begin(), found->second.end(),
            [&](const AnnouncedServer& it) { return zones.contains(it.server.zone) && !isLeaving(it); });
}

bool ServerDirectory::isDrained(
    const ServiceId& service, const std::optional<std::set<AvailabilityZoneId>>& allowedZones) const
{
    const auto found = m_announced.find(service);
    if (m_drainedZones.empty() || found == m_announced.end())
        return false;
    bool hasReadyServers = false;
    for (const auto& it : found->second) {
        if (isLeaving(it) || (allowedZones && !allowedZones->contains(it.server.zone)))
            continue;
        if (!m_drainedZones.contains(it.server.zone))
            return false;
        hasReadyServers = true;
    }
    return hasReadyServers;
}

void ServerDirectory::setInstances(const std::vector<InstanceId>& live, TimePoint now)
{
    m_instances = live;
    m_instanceCount = std::max<std::size_t>(1, live.size());
    m_lastUpdateAt = now;
    for (auto& it : m_services) {
        it.second.retryBudget.setInstanceCount(m_instanceCount);
        it.second.evenLoad.setInstanceCount(m_instanceCount);
        it.second.pool->updateColdCalls([&](auto& limiter) { limiter.setLiveInstances(live, now); });
    }
}

std::uint64_t ServerDirectory::coldCallsHeld() const
{
    std::uint64_t n = 0;
    for (const auto& it : m_services)
        n += it.second.pool->coldCallsHeld();
    return n;
}

ServiceState* ServerDirectory::find(const ServiceId& id)
{
    const auto it = m_services.find(id);
    return it == m_services.end() ? nullptr : &it->second;
}

const ServiceState* ServerDirectory::find(const ServiceId& id) const
{
    const auto it = m_services.find(id);
    return it == m_services.end() ? nullptr : &it->second;
}

} // namespace foxtailwheel::serving
