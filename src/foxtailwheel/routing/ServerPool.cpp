#include "foxtailwheel/routing/ServerPool.h"

#include "foxtailwheel/base/Hash.h"
#include "foxtailwheel/base/Latency.h"
#include "foxtailwheel/routing/Subset.h"

#include <algorithm>
#include <cmath>
#include <mutex>
#include <unordered_map>

namespace foxtailwheel::routing {

namespace {

    using namespace std::chrono_literals;

    /// Share of a newly measured time in the smoothed time of a server.
    constexpr double timeSmoothing = 0.2;
    /// Slowing of a call on a server whose slots are all busy, as a share of its time.
    constexpr double loadSlowing = 0.02;
    /// Time after which an unused measurement has half faded towards the pool's mean.
    constexpr double timeHalfLifeSeconds = 5;
    /// Servers whose smoothed time is within these ratios to the mean count as alike: the rest is chance.
    constexpr double usualRatioLow = 0.6;
    constexpr double usualRatioHigh = 1.5;
    /// A report is trusted half as much after one call time; this is the least call time counted.
    constexpr double shortestTrustSeconds = 0.05;
    /// Busy share of a pool from which a prefix held in another zone is worth the link.
    constexpr double busyToRoam = 0.9;
    constexpr double roamSlope = 5;
    /// Share of the call time that a cached prefix saves.
    constexpr double prefixSaving = 0.35;
    /// A server keeps its affine calls up to this multiple of the mean load, and this many calls above it.
    constexpr double affinityLoadFactor = 1.5;
    constexpr double affinityLoadSlack = 6;

    struct Server {
        config::BackendServer declared;
        LoadEstimate load;
        Health health;
        PrefixIndex prefixes;
        double callSeconds = 0; ///< Smoothed time of one call, queueing taken out.
        TimePoint measuredAt {};
        double linkSeconds = 0; ///< There and back.
        Cost linkCost;
        bool leaving = false;
        bool inSubset = false;
        bool isLocal = false;
    };

} // namespace

struct ServerPool::Impl {
    Impl(PoolOptions o)
        : options(std::move(o))
        , random(options.seed ^ hashOf(options.self.value()))
        , policy(makeChoicePolicy(options.policy))
    {
    }

    void setLink(Server& server, const config::Declarations& declarations) const;
    void draw();
    double callSeconds(const Server& server, TimePoint now) const;
    double loadAt(const Server& server, TimePoint now) const;
    double queueFactor(double load) const;
    double busyShare() const;
    Candidate candidateOf(std::size_t place, const PlacementRequest& request, TimePoint now) const;
    void collect(const PlacementRequest& request, bool avoiding, TimePoint now);
    void keepZone(const AvailabilityZoneId& zone);
    std::size_t pick(const PlacementRequest& request, TimePoint now);
    std::size_t pickAffine(std::uint64_t affinity, TimePoint now) const;
    Server* find(const BackendServerId& id);
    void learn(Server& server, double seconds, TimePoint now);

    mutable std::mutex mutex;
    PoolOptions options;
    config::Service service;
    Random random;
    std::unique_ptr<ChoicePolicy> policy;
    std::vector<Server> servers;
    std::unordered_map<BackendServerId, std::size_t> places;
    std::vector<std::size_t> subset;
    std::vector<Candidate> candidates;
    std::set<BackendServerId> leaving;
    LatencyHistogram times;
    double meanCallSeconds = 0;
    double stayingServers = 0;
    double meanOthers = 0; ///< Calls of other instances at a server of the subset, on average.
    double remoteAffinity = 0; ///< How much a prefix held in another zone counts, from 0 to 1.
};

void ServerPool::Impl::setLink(Server& server, const config::Declarations& declarations) const
{
    server.isLocal = server.declared.zone == options.zone;
    const auto* link = declarations.findLink(options.zone, server.declared.zone);
    server.linkSeconds = link == nullptr ? 0 : 2 * toSeconds(link->oneWay);
    server.linkCost = link == nullptr ? Cost {} : link->price;
}

void ServerPool::Impl::draw()
{
    std::vector<config::BackendServer> staying;
    std::vector<std::size_t> positions;
    for (std::size_t i = 0; i < servers.size(); ++i) {
        servers[i].inSubset = false;
        servers[i].leaving = leaving.contains(servers[i].declared.id);
        if (servers[i].leaving)
            continue;
        staying.push_back(servers[i].declared);
        positions.push_back(i);
    }
    stayingServers = static_cast<double>(staying.size());
    subset.clear();
    for (const auto i : drawSubset(staying, options.self, options.zone, options.subsetSize)) {
        subset.push_back(positions[i]);
        servers[positions[i]].inSubset = true;
    }
}

double ServerPool::Impl::callSeconds(const Server& server, TimePoint now) const
{
    if (server.measuredAt == TimePoint {})
        return meanCallSeconds;
    const double age = std::max(0.0, toSeconds(now - server.measuredAt));
    const double trust = std::exp2(-age / timeHalfLifeSeconds);
    const double seconds = trust * server.callSeconds + (1 - trust) * meanCallSeconds;
    const double ratio = seconds / meanCallSeconds;
    return ratio > usualRatioLow && ratio < usualRatioHigh ? meanCallSeconds : seconds;
}

double ServerPool::Impl::loadAt(const Server& server, TimePoint now) const
{
    const double age = std::max(0.0, toSeconds(now - server.load.reportedAt()));
    const double trust = std::exp2(-age / std::max(meanCallSeconds, shortestTrustSeconds));
    return server.load.own() + trust * server.load.others() + (1 - trust) * meanOthers;
}

double ServerPool::Impl::queueFactor(double load) const
{
    return std::max(1.0, (load + 1) / service.concurrency);
}

Candidate ServerPool::Impl::candidateOf(std::size_t place, const PlacementRequest& request, TimePoint now) const
{
    const auto& server = servers[place];
    double seconds = callSeconds(server, now);
    double confidence = 0;
    if (options.prefixAffinity && request.prefix)
        confidence = server.prefixes.confidence(*request.prefix) * (server.isLocal ? 1 : remoteAffinity);
    const double load = loadAt(server, now);
    const double waiting = seconds * (queueFactor(load) - 1);
    // Below its concurrency a server still slows a little with each call it works on.
    const double spread = loadSlowing * seconds * std::min(1.0, load / service.concurrency);
    seconds *= 1 - prefixSaving * confidence;
    const double milliCredits = static_cast<double>(server.linkCost.microCredits) / 1000;
    const double costSeconds = service.costWeight * milliCredits / 1000;
    return { place, seconds + waiting + spread + server.linkSeconds, server.load.reported(), costSeconds,
        server.isLocal };
}

void ServerPool::Impl::collect(const PlacementRequest& request, bool avoiding, TimePoint now)
{
    candidates.clear();
    meanOthers = 0;
    for (const auto place : subset)
        meanOthers += servers[place].load.others() / static_cast<double>(subset.size());
    remoteAffinity = std::clamp((busyShare() - busyToRoam) * roamSlope, 0.0, 1.0);
    for (const auto place : subset) {
        const auto& server = servers[place];
        const bool usable = request.careful ? !server.health.suspected() : server.health.usable(now, server.load.own());
        const bool avoided = avoiding
            && std::find(request.avoid.begin(), request.avoid.end(), server.declared.id) != request.avoid.end();
        const bool full = request.mostOwnCalls && server.load.own() >= *request.mostOwnCalls;
        if (!usable || avoided || full)
            continue;
        const auto candidate = candidateOf(place, request, now);
        if (!request.longest || fromSeconds(candidate.expectedSeconds) <= *request.longest)
            candidates.push_back(candidate);
    }
}

/// Leaves only the candidates in `zone`, where there is one.
void ServerPool::Impl::keepZone(const AvailabilityZoneId& zone)
{
    const auto there = [&](const Candidate& it) { return servers[it.server].declared.zone == zone; };
    if (std::any_of(candidates.begin(), candidates.end(), there))
        std::erase_if(candidates, [&](const Candidate& it) { return !there(it); });
}

std::size_t ServerPool::Impl::pick(const PlacementRequest& request, TimePoint now)
{
    if (request.affinity)
        return pickAffine(*request.affinity, now);
    return candidates[policy->pick(candidates, random)].server;
}

/// Rendezvous hashing with bounded loads: the highest weight wins unless the server has far more than the mean load.
std::size_t ServerPool::Impl::pickAffine(std::uint64_t affinity, TimePoint now) const
{
    double mean = 0;
    for (const auto& it : candidates)
        mean += loadAt(servers[it.server], now) / static_cast<double>(candidates.size());
    const double bound = affinityLoadFactor * mean + affinityLoadSlack;
    std::size_t best = candidates.front().server;
    std::uint64_t bestWeight = 0;
    bool bestFits = false;
    for (const auto& it : candidates) {
        const auto& server = servers[it.server];
        const bool fits = loadAt(server, now) <= bound;
        const auto weight = hashOf(server.declared.id.value(), affinity);
        if (std::pair(fits, weight) > std::pair(bestFits, bestWeight)) {
            best = it.server;
            bestWeight = weight;
            bestFits = fits;
        }
    }
    return best;
}

Server* ServerPool::Impl::find(const BackendServerId& id)
{
    const auto it = places.find(id);
    return it == places.end() ? nullptr : &servers[it->second];
}

void ServerPool::Impl::learn(Server& server, double seconds, TimePoint now)
{
    const double net = std::max(1e-4, seconds - server.linkSeconds) / queueFactor(loadAt(server, now));
    const double before = callSeconds(server, now);
    server.callSeconds = before + timeSmoothing * (net - before);
    server.measuredAt = now;
    meanCallSeconds += timeSmoothing / std::max(1.0, static_cast<double>(subset.size())) * (net - meanCallSeconds);
}

double ServerPool::Impl::busyShare() const
{
    double load = 0;
    for (const auto place : subset)
        load += servers[place].load.total();
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
        auto* known = m_impl->find(it.id);
        const bool same = known != nullptr && known->declared.host == it.host && known->declared.port == it.port;
        Server server = same ? std::move(*known) : Server {};
        server.declared = it;
        m_impl->setLink(server, declarations);
        servers.push_back(std::move(server));
    }
    m_impl->service = service;
    m_impl->servers = std::move(servers);
    m_impl->places.clear();
    for (std::size_t i = 0; i < m_impl->servers.size(); ++i)
        m_impl->places.emplace(m_impl->servers[i].declared.id, i);
    m_impl->draw();
}

std::optional<Placement> ServerPool::place(const PlacementRequest& request, TimePoint now)
{
    const std::lock_guard lock(m_impl->mutex);
    m_impl->collect(request, true, now);
    if (m_impl->candidates.empty() && !request.avoid.empty())
        m_impl->collect(request, false, now);
    if (m_impl->candidates.empty())
        return std::nullopt;
    if (request.zone)
        m_impl->keepZone(*request.zone);
    const auto place = m_impl->pick(request, now);
    auto& server = m_impl->servers[place];
    const double expected = m_impl->candidateOf(place, request, now).expectedSeconds;
    server.load.started(now);
    if (request.prefix)
        server.prefixes.used(*request.prefix);
    return Placement { server.declared, server.linkCost, fromSeconds(expected), !server.isLocal };
}

void ServerPool::ended(const BackendServerId& id, const CallReport& report, TimePoint now)
{
    const std::lock_guard lock(m_impl->mutex);
    auto* server = m_impl->find(id);
    if (server == nullptr)
        return;
    if (report.sign == CallSign::Good) {
        m_impl->times.add(report.time);
        m_impl->learn(*server, toSeconds(report.time), now);
    }
    server->load.finished(now);
    server->health.observe(report.sign, now);
}

void ServerPool::cancelled(const BackendServerId& id, Duration after, TimePoint now)
{
    const std::lock_guard lock(m_impl->mutex);
    auto* server = m_impl->find(id);
    if (server == nullptr)
        return;
    // A call that was given up after more than its expected time shows that the server is at least that slow.
    const double expected
        = m_impl->callSeconds(*server, now) * m_impl->queueFactor(m_impl->loadAt(*server, now)) + server->linkSeconds;
    if (toSeconds(after) > expected)
        m_impl->learn(*server, toSeconds(after), now);
    server->load.finished(now);
}

void ServerPool::reported(const BackendServerId& id, const LoadReport& report)
{
    const std::lock_guard lock(m_impl->mutex);
    if (auto* server = m_impl->find(id))
        server->load.report(report);
}

void ServerPool::cacheEvent(const BackendServerId& id, const CacheEvent& event)
{
    const std::lock_guard lock(m_impl->mutex);
    if (auto* server = m_impl->find(id))
        server->prefixes.event(event);
}

void ServerPool::setLeaving(const std::set<BackendServerId>& leaving)
{
    const std::lock_guard lock(m_impl->mutex);
    m_impl->leaving = leaving;
    m_impl->draw();
}

Duration ServerPool::expectedTime() const
{
    const std::lock_guard lock(m_impl->mutex);
    return fromSeconds(m_impl->meanCallSeconds * std::max(1.0, m_impl->busyShare()));
}

double ServerPool::busyShare() const
{
    const std::lock_guard lock(m_impl->mutex);
    return m_impl->busyShare();
}

Duration ServerPool::timeQuantile(double q, Duration fallback) const
{
    const std::lock_guard lock(m_impl->mutex);
    return m_impl->times.quantile(q, fallback);
}

double ServerPool::slots(TimePoint now) const
{
    const std::lock_guard lock(m_impl->mutex);
    const auto& subset = m_impl->subset;
    const auto usable = std::count_if(subset.begin(), subset.end(), [&](std::size_t place) {
        const auto& server = m_impl->servers[place];
        return server.health.usable(now, server.load.own());
    });
    if (subset.empty())
        return 0;
    const double share = static_cast<double>(usable) / static_cast<double>(subset.size());
    return share * m_impl->stayingServers * m_impl->service.concurrency;
}

std::vector<config::BackendServer> ServerPool::freeServers(std::uint32_t mostOwnCalls, TimePoint now) const
{
    const std::lock_guard lock(m_impl->mutex);
    std::vector<config::BackendServer> free;
    for (const auto place : m_impl->subset) {
        const auto& server = m_impl->servers[place];
        if (server.health.usable(now, server.load.own()) && server.load.own() < mostOwnCalls)
            free.push_back(server.declared);
    }
    return free;
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
        rows.push_back({ it.declared, it.load.total(), it.load.own(), it.health.suspected(), it.leaving, it.inSubset,
            fromSeconds(it.callSeconds), it.load.reportedAt() });
    return rows;
}

} // namespace foxtailwheel::routing
