#include "foxtailwheel/routing/ServerPool.h"

#include "foxtailwheel/base/Hash.h"
#include "foxtailwheel/base/Latency.h"
#include "foxtailwheel/routing/Subset.h"

#include <algorithm>
#include <cmath>
#include <mutex>
#include <unordered_map>
#include <utility>

namespace foxtailwheel::routing {

namespace {

    using namespace std::chrono_literals;

    /// Weight of a new sample in the exponentially smoothed call time of a server.
    constexpr double callTimeSmoothing = 0.2;
    /// Increase of the call time on a server whose slots are all busy, as a fraction of the call time.
    constexpr double loadSlowdown = 0.02;
    /// Half-life of a measured call time; without new samples it decays towards the mean of the pool.
    constexpr double callTimeHalfLifeSeconds = 5;
    /// Servers whose smoothed call time is within these ratios of the mean count as equally fast: the difference is
    /// noise.
    constexpr double minTypicalRatio = 0.6;
    constexpr double maxTypicalRatio = 1.5;
    /// Lower bound of the half-life of a load report, which is otherwise the mean call time.
    constexpr double minReportHalfLifeSeconds = 0.05;
    /// Utilization of the subset above which a prefix cached in another zone outweighs the link, and the rate at which
    /// its weight rises from 0 to 1 beyond that.
    constexpr double remotePrefixMinUtilization = 0.9;
    constexpr double remotePrefixSlope = 5;
    /// Fraction of the call time that a cached prefix saves.
    constexpr double prefixCacheSaving = 0.35;
    /// Affinity binds calls to a server up to this multiple of the mean load plus this number of calls.
    constexpr double affinityLoadFactor = 1.5;
    constexpr double affinityLoadSlack = 6;

    /// Time after which a caller may try again if all servers are in drained zones.
    constexpr Duration drainedRetryAfter = 1s;
    /// Longest pause of a server.
    constexpr Duration maxPause = 10min;

    struct Server {
        config::BackendServer declared;
        LoadEstimate load;
        ServerHealth health;
        PrefixIndex prefixes;
        double callSeconds = 0; ///< Smoothed time of one call without queueing.
        TimePoint measuredAt {};
        double linkSeconds = 0; ///< Round-trip time.
        Cost linkCost;
        bool leaving = false;
        bool inSubset = false;
        bool isLocal = false;

        /// Forgets what is known of the earlier process, but not the calls that are in progress there.
        void onRestart()
        {
            health.onRestart();
            prefixes = {};
            callSeconds = 0;
            measuredAt = {};
        }
    };

} // namespace

struct ServerPool::Impl {
    Impl(PoolOptions o)
        : options(std::move(o))
        , random(options.seed ^ hashOf(options.self.value()))
        , policy(makeLoadBalancingPolicy(options.policy))
        , cold(options.self)
    {
    }

    void setLink(Server& server, const config::Declarations& declarations) const;
    void rebuildSubset();
    double callSeconds(const Server& server, TimePoint now) const;
    double estimateLoad(const Server& server, TimePoint now) const;
    double queueingFactor(double load) const;
    double utilization() const;
    Candidate makeCandidate(std::size_t index, const PlacementRequest& request, TimePoint now) const;
    void collectCandidates(const PlacementRequest& request, bool applyAvoid, TimePoint now);
    void keepCandidatesInZone(const AvailabilityZoneId& zone);
    bool isDrained() const;
    void keepAdmittedCandidates(const PlacementRequest& request, TimePoint now);
    bool isAdmitted(const Server& server, TimePoint now) const;
    std::size_t pickServer(const PlacementRequest& request, TimePoint now);
    std::size_t pickByAffinity(std::uint64_t affinity, TimePoint now) const;
    Server* find(const BackendServerId& id);
    void recordCallTime(Server& server, double seconds, TimePoint now);

    mutable std::mutex mutex;
    PoolOptions options;
    config::Service service;
    Random random;
    std::unique_ptr<LoadBalancingPolicy> policy;
    std::vector<Server> servers;
    std::unordered_map<BackendServerId, std::size_t> indexById;
    std::vector<std::size_t> subset;
    std::vector<Candidate> candidates;
    std::set<BackendServerId> leaving;
    std::set<AvailabilityZoneId> drained; ///< By the declarations.
    std::set<AvailabilityZoneId> restored; ///< By the declarations, since the last placement.
    ZoneRamp ramp;
    ColdCallLimiter cold;
    std::uint64_t coldCallsHeld = 0;
    std::vector<BackendServerId> newlyLimited;
    LatencyHistogram times;
    double meanCallSeconds = 0;
    double activeServers = 0;
    double meanOtherCalls = 0; ///< Mean number of calls of other instances at a server of the subset.
    double remotePrefixWeight = 0; ///< Weight from 0 to 1 of a prefix that is cached in another zone.
};

void ServerPool::Impl::setLink(Server& server, const config::Declarations& declarations) const
{
    server.isLocal = server.declared.zone == options.zone;
    const auto* link = declarations.findLink(options.zone, server.declared.zone);
    server.linkSeconds = link == nullptr ? 0 : 2 * toSeconds(link->oneWay);
    server.linkCost = link == nullptr ? Cost {} : link->price;
}

void ServerPool::Impl::rebuildSubset()
{
    std::vector<config::BackendServer> active;
    std::vector<std::size_t> indices;
    for (std::size_t i = 0; i < servers.size(); ++i) {
        servers[i].inSubset = false;
        servers[i].leaving = leaving.contains(servers[i].declared.id) || drained.contains(servers[i].declared.zone);
        if (servers[i].leaving)
            continue;
        active.push_back(servers[i].declared);
        indices.push_back(i);
    }
    activeServers = static_cast<double>(active.size());
    subset.clear();
    for (const auto i : selectSubset(active, options.self, options.zone, options.subsetSize)) {
        subset.push_back(indices[i]);
        servers[indices[i]].inSubset = true;
    }
}

double ServerPool::Impl::callSeconds(const Server& server, TimePoint now) const
{
    if (server.measuredAt == TimePoint {})
        return meanCallSeconds;
    const double age = std::max(0.0, toSeconds(now - server.measuredAt));
    const double weight = std::exp2(-age / callTimeHalfLifeSeconds);
    const double seconds = weight * server.callSeconds + (1 - weight) * meanCallSeconds;
    const double ratio = seconds / meanCallSeconds;
    return ratio > minTypicalRatio && ratio < maxTypicalRatio ? meanCallSeconds : seconds;
}

double ServerPool::Impl::estimateLoad(const Server& server, TimePoint now) const
{
    const double age = std::max(0.0, toSeconds(now - server.load.reportedAt()));
    const double weight = std::exp2(-age / std::max(meanCallSeconds, minReportHalfLifeSeconds));
    return server.load.ownCalls() + weight * server.load.otherCalls() + (1 - weight) * meanOtherCalls;
}

double ServerPool::Impl::queueingFactor(double load) const
{
    return std::max(1.0, (load + 1) / service.concurrency);
}

Candidate ServerPool::Impl::makeCandidate(std::size_t index, const PlacementRequest& request, TimePoint now) const
{
    const auto& server = servers[index];
    double seconds = callSeconds(server, now);
    double hitProbability = 0;
    if (options.prefixAffinity && request.prefix)
        hitProbability = server.prefixes.hitProbability(*request.prefix) * (server.isLocal ? 1 : remotePrefixWeight);
    const double load = estimateLoad(server, now);
    const double queueingSeconds = seconds * (queueingFactor(load) - 1);
    // Even below its concurrency limit a server slows down slightly with each call in progress.
    const double slowdownSeconds = loadSlowdown * seconds * std::min(1.0, load / service.concurrency);
    seconds *= 1 - prefixCacheSaving * hitProbability;
    const double milliCredits = static_cast<double>(server.linkCost.microCredits) / 1000;
    const double costSeconds = service.costWeight * milliCredits / 1000;
    return { index, seconds + queueingSeconds + slowdownSeconds + server.linkSeconds, server.load.reportedCalls(),
        costSeconds, server.isLocal, &server.declared.id };
}

void ServerPool::Impl::collectCandidates(const PlacementRequest& request, bool applyAvoid, TimePoint now)
{
    candidates.clear();
    bool isHeld = false;
    meanOtherCalls = 0;
    for (const auto index : subset)
        meanOtherCalls += servers[index].load.otherCalls() / static_cast<double>(subset.size());
    remotePrefixWeight = std::clamp((utilization() - remotePrefixMinUtilization) * remotePrefixSlope, 0.0, 1.0);
    for (const auto index : subset) {
        const auto& server = servers[index];
        const bool isUsable = server.health.isUsable(now, server.load.ownCalls())
            && (!request.healthyOnly || server.health.isTrusted());
        const bool isAvoided = applyAvoid
            && std::find(request.avoid.begin(), request.avoid.end(), server.declared.id) != request.avoid.end();
        const bool isFull = request.maxOwnCalls && server.load.ownCalls() >= *request.maxOwnCalls;
        const bool isForbidden = request.allowedZones && !request.allowedZones->contains(server.declared.zone);
        if (!isUsable || isAvoided || isFull || isForbidden)
            continue;
        if (!cold.admits(server.declared.id, now)) {
            isHeld = true;
            if (cold.onCallHeld(server.declared.id))
                newlyLimited.push_back(server.declared.id);
            continue;
        }
        const auto candidate = makeCandidate(index, request, now);
        if (!request.maxExpectedTime || fromSeconds(candidate.expectedSeconds) <= *request.maxExpectedTime)
            candidates.push_back(candidate);
    }
    coldCallsHeld += isHeld ? 1 : 0;
}

/// Returns true if all servers that are not leaving are in zones that are declared as drained.
bool ServerPool::Impl::isDrained() const
{
    const auto isInDrainedZone = [this](const Server& it) { return drained.contains(it.declared.zone); };
    return subset.empty() && std::any_of(servers.begin(), servers.end(), [&](const Server& it) {
        return isInDrainedZone(it) && !leaving.contains(it.declared.id);
    });
}

/// Removes the candidates outside `zone`, unless that would remove all.
void ServerPool::Impl::keepCandidatesInZone(const AvailabilityZoneId& zone)
{
    const auto isInZone = [&](const Candidate& it) { return servers[it.server].declared.zone == zone; };
    if (std::any_of(candidates.begin(), candidates.end(), isInZone))
        std::erase_if(candidates, [&](const Candidate& it) { return !isInZone(it); });
}

/// Returns whether a server in a restored zone takes batches. The number of these servers grows evenly, since a batch
/// queue has to know the free servers before it chooses the pieces of a call.
bool ServerPool::Impl::isAdmitted(const Server& server, TimePoint now) const
{
    return ramp.admits(server.declared.zone, hashOf(server.declared.id.value()), now);
}

/// Removes the candidates in restored zones that do not take this request yet, unless that would remove all.
void ServerPool::Impl::keepAdmittedCandidates(const PlacementRequest& request, TimePoint now)
{
    if (!ramp.isActive(now))
        return;
    const auto key = request.affinityKey.value_or(random.next());
    const auto admitted = [&](const Candidate& it) {
        const auto& server = servers[it.server];
        return request.maxOwnCalls ? isAdmitted(server, now) : ramp.admits(server.declared.zone, key, now);
    };
    if (std::any_of(candidates.begin(), candidates.end(), admitted))
        std::erase_if(candidates, [&](const Candidate& it) { return !admitted(it); });
}

std::size_t ServerPool::Impl::pickServer(const PlacementRequest& request, TimePoint now)
{
    if (request.policy != nullptr)
        return candidates[request.policy->pick(candidates, random)].server;
    if (request.affinityKey)
        return pickByAffinity(*request.affinityKey, now);
    return candidates[policy->pick(candidates, random)].server;
}

/// Rendezvous hashing with bounded loads: picks the highest weight among the servers within the load bound.
std::size_t ServerPool::Impl::pickByAffinity(std::uint64_t affinity, TimePoint now) const
{
    double mean = 0;
    for (const auto& it : candidates)
        mean += estimateLoad(servers[it.server], now) / static_cast<double>(candidates.size());
    const double bound = affinityLoadFactor * mean + affinityLoadSlack;
    std::size_t best = candidates.front().server;
    std::uint64_t bestWeight = 0;
    bool bestIsWithinBound = false;
    for (const auto& it : candidates) {
        const auto& server = servers[it.server];
        const bool isWithinBound = estimateLoad(server, now) <= bound;
        const auto weight = hashOf(server.declared.id.value(), affinity);
        if (std::pair(isWithinBound, weight) > std::pair(bestIsWithinBound, bestWeight)) {
            best = it.server;
            bestWeight = weight;
            bestIsWithinBound = isWithinBound;
        }
    }
    return best;
}

Server* ServerPool::Impl::find(const BackendServerId& id)
{
    const auto it = indexById.find(id);
    return it == indexById.end() ? nullptr : &servers[it->second];
}

void ServerPool::Impl::recordCallTime(Server& server, double seconds, TimePoint now)
{
    const double serviceSeconds
        = std::max(1e-4, seconds - server.linkSeconds) / queueingFactor(estimateLoad(server, now));
    const double previous = callSeconds(server, now);
    server.callSeconds = previous + callTimeSmoothing * (serviceSeconds - previous);
    server.measuredAt = now;
    meanCallSeconds
        += callTimeSmoothing / std::max(1.0, static_cast<double>(subset.size())) * (serviceSeconds - meanCallSeconds);
}

double ServerPool::Impl::utilization() const
{
    double load = 0;
    for (const auto index : subset)
        load += servers[index].load.totalCalls();
    return load / std::max(1.0, static_cast<double>(subset.size()) * service.concurrency);
}

ServerPool::ServerPool(std::unique_ptr<Impl> impl)
    : m_impl(std::move(impl))
{
}
ServerPool::~ServerPool() = default;

std::unique_ptr<ServerPool> ServerPool::create(
    const config::Service& service, const config::Declarations& declarations, PoolOptions options)
{
    auto impl = std::make_unique<Impl>(std::move(options));
    impl->meanCallSeconds = toSeconds(service.typicalTime);
    std::unique_ptr<ServerPool> pool(new ServerPool(std::move(impl)));
    pool->update(service, declarations);
    return pool;
}

void ServerPool::update(const config::Service& service, const config::Declarations& declarations)
{
    const std::lock_guard lock(m_impl->mutex);
    std::vector<Server> servers;
    for (const auto& it : service.servers) {
        auto* existing = m_impl->find(it.id);
        const bool sameAddress
            = existing != nullptr && existing->declared.host == it.host && existing->declared.port == it.port;
        Server server = sameAddress ? std::move(*existing) : Server {};
        if (sameAddress && server.declared.startedAt != it.startedAt)
            server.onRestart();
        server.declared = it;
        m_impl->setLink(server, declarations);
        servers.push_back(std::move(server));
    }
    std::set<AvailabilityZoneId> drained;
    for (const auto& it : declarations.zones) {
        if (it.drained)
            drained.insert(it.id);
    }
    for (const auto& it : std::exchange(m_impl->drained, drained)) {
        if (!drained.contains(it))
            m_impl->restored.insert(it);
    }
    m_impl->service = service;
    m_impl->servers = std::move(servers);
    m_impl->indexById.clear();
    for (std::size_t i = 0; i < m_impl->servers.size(); ++i)
        m_impl->indexById.emplace(m_impl->servers[i].declared.id, i);
    m_impl->rebuildSubset();
}

std::optional<Placement> ServerPool::place(const PlacementRequest& request, TimePoint now)
{
    const std::lock_guard lock(m_impl->mutex);
    for (const auto& it : std::exchange(m_impl->restored, {}))
        m_impl->ramp.addRestored(it, now);
    m_impl->collectCandidates(request, true, now);
    if (m_impl->candidates.empty() && !request.avoid.empty())
        m_impl->collectCandidates(request, false, now);
    if (m_impl->candidates.empty())
        return std::nullopt;
    m_impl->keepAdmittedCandidates(request, now);
    if (request.preferredZone)
        m_impl->keepCandidatesInZone(*request.preferredZone);
    const auto index = m_impl->pickServer(request, now);
    auto& server = m_impl->servers[index];
    const double expected = m_impl->makeCandidate(index, request, now).expectedSeconds;
    server.load.onCallStarted(now);
    server.health.onCallStarted(now);
    m_impl->cold.onCall(server.declared.id, now);
    if (request.prefix)
        server.prefixes.onPrefixUsed(*request.prefix);
    return Placement { server.declared, server.linkCost, fromSeconds(expected), !server.isLocal };
}

HealthChange ServerPool::onCallEnded(const BackendServerId& id, const CallReport& report, TimePoint now)
{
    const std::lock_guard lock(m_impl->mutex);
    auto* server = m_impl->find(id);
    if (server == nullptr)
        return HealthChange::None;
    if (report.outcome == CallOutcome::Success) {
        m_impl->times.add(report.latency);
        m_impl->recordCallTime(*server, toSeconds(report.latency), now);
    }
    server->load.onCallEnded(now);
    if (report.outcome == CallOutcome::Unreachable)
        m_impl->cold.suspectCold(id, now);
    return server->health.onCallEnded(report.outcome, now);
}

void ServerPool::onCallCancelled(const BackendServerId& id, Duration after, TimePoint now)
{
    const std::lock_guard lock(m_impl->mutex);
    auto* server = m_impl->find(id);
    if (server == nullptr)
        return;
    // A call that was cancelled after more than its expected time is a lower bound of the call time of the server.
    const double expected
        = m_impl->callSeconds(*server, now) * m_impl->queueingFactor(m_impl->estimateLoad(*server, now))
        + server->linkSeconds;
    if (toSeconds(after) > expected)
        m_impl->recordCallTime(*server, toSeconds(after), now);
    server->load.onCallEnded(now);
}

void ServerPool::onLoadReport(const BackendServerId& id, const LoadReport& report)
{
    const std::lock_guard lock(m_impl->mutex);
    if (auto* server = m_impl->find(id))
        server->load.onReport(report);
}

void ServerPool::onCacheEvent(const BackendServerId& id, const CacheEvent& event)
{
    const std::lock_guard lock(m_impl->mutex);
    if (auto* server = m_impl->find(id))
        server->prefixes.onCacheEvent(event);
}

void ServerPool::setLeaving(const std::set<BackendServerId>& leaving)
{
    const std::lock_guard lock(m_impl->mutex);
    m_impl->leaving = leaving;
    m_impl->rebuildSubset();
}

void ServerPool::updateColdCalls(const std::function<void(ColdCallLimiter& limiter)>& update)
{
    const std::lock_guard lock(m_impl->mutex);
    update(m_impl->cold);
}

std::uint64_t ServerPool::coldCallsHeld() const
{
    const std::lock_guard lock(m_impl->mutex);
    return m_impl->coldCallsHeld;
}

std::vector<BackendServerId> ServerPool::takeNewlyLimited()
{
    const std::lock_guard lock(m_impl->mutex);
    return std::exchange(m_impl->newlyLimited, {});
}

void ServerPool::setRestoredZones(std::map<AvailabilityZoneId, TimePoint> restoredAt)
{
    const std::lock_guard lock(m_impl->mutex);
    m_impl->ramp.setRestored(std::move(restoredAt));
}

Duration ServerPool::pause(const BackendServerId& id, Duration time, TimePoint now)
{
    const auto accepted = std::min(time, maxPause);
    const std::lock_guard lock(m_impl->mutex);
    if (auto* server = m_impl->find(id))
        server->health.pause(now + accepted);
    return accepted;
}

std::optional<TimePoint> ServerPool::pausedUntil(const BackendServerId& id, TimePoint now) const
{
    const std::lock_guard lock(m_impl->mutex);
    const auto* server = m_impl->find(id);
    return server != nullptr && server->health.isPaused(now) ? std::optional(server->health.pausedUntil())
                                                             : std::nullopt;
}

std::optional<TimePoint> ServerPool::pausedUntil(TimePoint now) const
{
    const std::lock_guard lock(m_impl->mutex);
    if (m_impl->isDrained())
        return now + drainedRetryAfter;
    std::optional<TimePoint> earliest;
    for (const auto index : m_impl->subset) {
        const auto& health = m_impl->servers[index].health;
        if (!health.isPaused(now))
            return std::nullopt;
        earliest = std::min(earliest.value_or(TimePoint::max()), health.pausedUntil());
    }
    return earliest;
}

std::vector<config::BackendServer> ServerPool::serversToCheck(TimePoint now) const
{
    const std::lock_guard lock(m_impl->mutex);
    std::vector<config::BackendServer> due;
    for (const auto index : m_impl->subset) {
        const auto& server = m_impl->servers[index];
        if (server.health.needsCheck(now) && m_impl->cold.admits(server.declared.id, now))
            due.push_back(server.declared);
    }
    return due;
}

void ServerPool::onCheckStarted(const BackendServerId& id, TimePoint now)
{
    const std::lock_guard lock(m_impl->mutex);
    if (auto* server = m_impl->find(id))
        server->health.onCheckStarted(now);
    m_impl->cold.onCall(id, now);
}

void ServerPool::onCheckEnded(const config::BackendServer& checked, bool passed, TimePoint now)
{
    const std::lock_guard lock(m_impl->mutex);
    auto* server = m_impl->find(checked.id);
    if (server == nullptr || server->declared != checked)
        return;
    server->health.onCheckEnded(passed, now);
    if (!passed)
        m_impl->cold.suspectCold(checked.id, now);
}

Duration ServerPool::expectedCallTime() const
{
    const std::lock_guard lock(m_impl->mutex);
    return fromSeconds(m_impl->meanCallSeconds * std::max(1.0, m_impl->utilization()));
}

double ServerPool::utilization() const
{
    const std::lock_guard lock(m_impl->mutex);
    return m_impl->utilization();
}

Duration ServerPool::callTimeQuantile(double q, Duration fallback) const
{
    const std::lock_guard lock(m_impl->mutex);
    return m_impl->times.quantile(q, fallback);
}

double ServerPool::usableSlots(TimePoint now) const
{
    const std::lock_guard lock(m_impl->mutex);
    const auto& subset = m_impl->subset;
    const auto usableCount = std::count_if(subset.begin(), subset.end(), [&](std::size_t index) {
        const auto& server = m_impl->servers[index];
        return server.health.isUsable(now, server.load.ownCalls());
    });
    if (subset.empty())
        return 0;
    const double share = static_cast<double>(usableCount) / static_cast<double>(subset.size());
    return share * m_impl->activeServers * m_impl->service.concurrency;
}

std::vector<config::BackendServer> ServerPool::availableServers(std::uint32_t maxOwnCalls, TimePoint now) const
{
    const std::lock_guard lock(m_impl->mutex);
    std::vector<config::BackendServer> available;
    std::vector<config::BackendServer> notAdmitted;
    for (const auto index : m_impl->subset) {
        const auto& server = m_impl->servers[index];
        if (server.health.isUsable(now, server.load.ownCalls()) && server.load.ownCalls() < maxOwnCalls
            && m_impl->cold.admits(server.declared.id, now))
            (m_impl->isAdmitted(server, now) ? available : notAdmitted).push_back(server.declared);
    }
    return available.empty() ? notAdmitted : available;
}

std::map<AvailabilityZoneId, std::size_t> ServerPool::serversByZone() const
{
    const std::lock_guard lock(m_impl->mutex);
    std::map<AvailabilityZoneId, std::size_t> zones;
    for (const auto& it : m_impl->servers) {
        if (!it.leaving)
            ++zones[it.declared.zone];
    }
    return zones;
}

std::vector<ServerStatus> ServerPool::status() const
{
    const std::lock_guard lock(m_impl->mutex);
    std::vector<ServerStatus> rows;
    for (const auto& it : m_impl->servers)
        rows.push_back({ it.declared, it.load.totalCalls(), it.load.ownCalls(), it.health.isSuspected(), it.leaving,
            it.inSubset, fromSeconds(it.callSeconds), it.load.reportedAt() });
    return rows;
}

} // namespace foxtailwheel::routing
