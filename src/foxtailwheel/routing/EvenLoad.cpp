#include "foxtailwheel/routing/EvenLoad.h"

#include "foxtailwheel/base/Hash.h"
#include "foxtailwheel/base/RendezvousScore.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace foxtailwheel::routing {

namespace {

    /// Smallest weight of a new sample in the means of the service.
    constexpr double meanSmoothing = 0.05;
    /// Weight of a new sample in the reading speed of the service, and the bound of one sample.
    constexpr double readingSmoothing = 0.02;
    constexpr double maxReadingRatio = 4;
    /// Calls with fewer tokens to read show little of the reading speed: other parts of the time outweigh it.
    constexpr double minMeasuredTokens = 1000;
    /// Shortest half-life of a load report, which is otherwise the mean call time.
    constexpr double minReportHalfLifeSeconds = 0.05;
    /// Interval at which the usual slowdown of the service is computed.
    constexpr Duration usualSlowdownPeriod = std::chrono::seconds(1);
    /// Servers that are slower than the usual one by this ratio are preferred for fewer parts.
    constexpr double slowServerRatio = 1.5;
    /// Shared parts whose uses are counted; more are forgotten all at once.
    constexpr std::size_t maxCountedParts = 4096;

    double decay(Duration age, Duration time)
    {
        return std::exp(-std::max(0.0, toSeconds(age)) / toSeconds(time));
    }

} // namespace

void SampleMean::add(double sample)
{
    m_samples = std::min(m_samples + 1, 1 / meanSmoothing);
    m_mean += (sample - m_mean) / m_samples;
}

EvenLoad::EvenLoad(EvenLoadParameters parameters)
    : m_parameters(parameters)
    , m_secondsPerToken(1 / parameters.initialTokensPerSecond)
{
}

void EvenLoad::configure(const std::vector<BackendServerId>& servers, std::uint32_t slots, std::uint64_t memoryTokens)
{
    m_slots = std::max(1U, slots);
    m_memoryTokens = memoryTokens;
    std::unordered_map<std::uint64_t, Server> remaining;
    for (const auto& it : servers) {
        const auto key = hashOf(it.value());
        const auto known = m_servers.find(key);
        remaining.emplace(key, known == m_servers.end() ? Server {} : std::move(known->second));
    }
    m_servers = std::move(remaining);
    m_meanOtherCalls = 0;
    for (const auto& it : m_servers)
        m_meanOtherCalls += it.second.load.otherCalls() / static_cast<double>(m_servers.size());
}

EvenLoad::Server* EvenLoad::find(std::uint64_t server)
{
    const auto it = m_servers.find(server);
    return it == m_servers.end() ? nullptr : &it->second;
}

/// Calls of other instances by the last report. It ages first towards the level of the last reports of the server, then
/// towards the mean of all servers.
double EvenLoad::otherCalls(const Server& server, TimePoint now) const
{
    const double age = std::max(0.0, toSeconds(now - server.load.reportedAt()));
    const double weight
        = std::exp2(-age / std::max(m_parameters.reportHalfLife * meanCallSeconds(), minReportHalfLifeSeconds));
    const double levelWeight = std::exp2(-age / toSeconds(m_parameters.levelHalfLife));
    const double usual = levelWeight * server.level + (1 - levelWeight) * m_meanOtherCalls;
    return weight * server.load.otherCalls() + (1 - weight) * usual;
}

/// Uses of a part by all instances within the retention of the caches. Clients reach all instances alike. A single own
/// use says nothing about the others: most parts are rare.
double EvenLoad::usesEverywhere(std::uint64_t part, TimePoint now) const
{
    const auto it = m_uses.find(part);
    return it == m_uses.end()
        ? 0
        : std::max(0.0, it->second.count * decay(now - it->second.at, m_parameters.cacheRetention) - 1) * m_instances;
}

void EvenLoad::recordUses(const EngineDemand& demand, TimePoint now)
{
    if (m_uses.size() > maxCountedParts)
        m_uses.clear();
    for (const auto& it : demand.sharedParts()) {
        auto& uses = m_uses[it.id];
        uses.count = uses.count * decay(now - uses.at, m_parameters.cacheRetention) + 1;
        uses.at = now;
    }
}

/// Returns the probability that a server has the last shared part, and with it all before, cached.
/// @param rank Place of the server in the rendezvous order of the part, if it is one of the preferred.
double EvenLoad::cachedProbability(
    const Server& server, std::uint64_t part, std::optional<std::size_t> rank, TimePoint now) const
{
    if (server.cache.contains(part, m_parameters.cacheRetention, now))
        return 1;
    if (!rank)
        return 0;
    const double prior
        = m_parameters.firstCachedProbability * std::pow(m_parameters.nextCachedRatio, static_cast<double>(*rank));
    const double usesHere = usesEverywhere(part, now) / static_cast<double>(m_parameters.preferredServers);
    return 1 - (1 - prior) * std::exp(-usesHere);
}

/// Expected number of tokens of the shared parts that the server does not have cached.
double EvenLoad::sharedTokensToRead(
    const Server& server, const EngineDemand& demand, std::optional<std::size_t> rank, TimePoint now) const
{
    const auto shared = demand.sharedParts();
    if (shared.empty())
        return 0;
    const double allCached = cachedProbability(server, shared.back().id, rank, now);
    double tokens = (1 - allCached) * shared.back().tokens;
    double cached = 1; ///< Probability that all parts so far are cached.
    for (const auto& it : shared.first(shared.size() - 1)) {
        if (!server.cache.contains(it.id, m_parameters.cacheRetention, now)) {
            // Requests with the part go to servers by their later parts, so it is read everywhere.
            const double usesHere
                = usesEverywhere(it.id, now) / static_cast<double>(std::max<std::size_t>(1, m_servers.size()));
            cached *= 1 - std::exp(-usesHere);
        }
        tokens += (1 - std::max(cached, allCached)) * it.tokens;
    }
    return tokens;
}

/// Tokens of calls on the server that have not been read: counted for own calls, estimated for those of others by the
/// fraction of its time that a mean call is read.
double EvenLoad::waitingTokens(const Server& server, TimePoint now) const
{
    const double callSeconds = m_callSeconds.valueOr(0);
    const double readingShare
        = callSeconds > 0 ? std::min(1.0, m_readingSeconds.valueOr(0) / callSeconds) : m_parameters.initialReadingShare;
    return server.unreadTokens + otherCalls(server, now) * readingShare * m_unreadTokens.valueOr(0);
}

const EvenLoad::Server* EvenLoad::find(std::uint64_t server) const
{
    const auto it = m_servers.find(server);
    return it == m_servers.end() ? nullptr : &it->second;
}

void EvenLoad::updateUsualSlowdown(TimePoint now)
{
    if (now - m_usualSlowdownAt < usualSlowdownPeriod || m_servers.empty())
        return;
    m_usualSlowdownAt = now;
    std::vector<double> slowdowns;
    slowdowns.reserve(m_servers.size());
    for (const auto& it : m_servers)
        slowdowns.push_back(it.second.speed.usualSlowdown(now));
    const auto middle = slowdowns.begin() + static_cast<std::ptrdiff_t>(slowdowns.size() / 2);
    std::nth_element(slowdowns.begin(), middle, slowdowns.end());
    m_usualSlowdown = *middle;
}

/// Weight of a server in the rendezvous order. A slow one is preferred for fewer parts: requests would leave it for
/// faster servers, which then read these parts again. Small differences do not count, or instances would differ in the
/// order.
double EvenLoad::preferenceWeight(const BackendServerId& id, TimePoint now) const
{
    const auto* server = find(hashOf(id.value()));
    const double ratio = server == nullptr ? 1 : server->speed.usualSlowdown(now) / m_usualSlowdown;
    return ratio > slowServerRatio ? 1 / (ratio * ratio) : 1;
}

/// Returns the rank of each candidate among the preferred servers of `key`, in weighted rendezvous order; empty for the
/// others.
std::vector<std::optional<std::size_t>> EvenLoad::preferredRanks(
    std::span<const Candidate> candidates, std::uint64_t key, TimePoint now) const
{
    std::vector<std::pair<double, std::size_t>> order;
    order.reserve(candidates.size());
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const auto& id = *candidates[i].id;
        order.emplace_back(rendezvousScore(hashOf(id.value(), key), preferenceWeight(id, now)), i);
    }
    const auto n = std::min(m_parameters.preferredServers, order.size());
    std::partial_sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(n), order.end(), std::greater<> {});
    std::vector<std::optional<std::size_t>> ranks(candidates.size());
    for (std::size_t i = 0; i < n; ++i)
        ranks[order[i].second] = i;
    return ranks;
}

double EvenLoad::expectedSeconds(
    const Server& server, const EngineDemand& demand, std::optional<std::size_t> rank, TimePoint now) const
{
    const double others = otherCalls(server, now);
    const double calls = server.load.ownCalls() + others;
    const double slots = m_slots;
    double workSeconds = meanCallSeconds();
    if (isEngine()) {
        const double weight = m_parameters.rereadWeight * (rank ? 1 : m_parameters.spillWeight);
        const double tokens = demand.ownTokens() + weight * sharedTokensToRead(server, demand, rank, now);
        workSeconds = (tokens + waitingTokens(server, now)) * m_secondsPerToken;
    }
    const double queuedCalls = std::max(0.0, calls + 1 - slots);
    double seconds = workSeconds * (1 + m_parameters.loadWeight * std::min(1.0, calls / slots))
        + queuedCalls / slots * meanCallSeconds();
    seconds *= server.speed.lastingFactor(m_parameters.speedHalfLife, now)
        * server.speed.slowdown(m_parameters.slowdownHalfLife, now);
    if (isEngine()) {
        const double needed = demand.promptTokens() + demand.outputTokens;
        const double used = server.memory.usedTokens(others, m_heldTokens.valueOr(0));
        if (used + needed > m_parameters.memoryLimit * static_cast<double>(m_memoryTokens))
            seconds += toSeconds(m_parameters.fullPenalty);
    }
    return seconds;
}

double EvenLoad::expectedSeconds(const BackendServerId& server, const EngineDemand& demand, TimePoint now) const
{
    const auto it = m_servers.find(hashOf(server.value()));
    return it == m_servers.end() ? meanCallSeconds() : expectedSeconds(it->second, demand, std::nullopt, now);
}

std::vector<double> EvenLoad::weights(std::span<const Candidate> candidates, const EngineDemand& demand,
    std::optional<std::uint64_t> affinity, TimePoint now) const
{
    if (candidates.empty())
        return {};
    const auto ranks = affinity && demand.prompt.size() > 1
        ? preferredRanks(candidates, *affinity, now)
        : std::vector<std::optional<std::size_t>>(candidates.size());
    std::vector<double> seconds;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const auto it = m_servers.find(hashOf(candidates[i].id->value()));
        seconds.push_back(
            it == m_servers.end() ? meanCallSeconds() : expectedSeconds(it->second, demand, ranks[i], now));
    }
    // A random choice among servers with about the same expected time keeps instances that know the same from choosing
    // the same server at once.
    const double best = *std::min_element(seconds.begin(), seconds.end());
    const double unit
        = isEngine() ? std::max(m_unreadTokens.valueOr(0), minMeasuredTokens) * m_secondsPerToken : meanCallSeconds();
    for (auto& it : seconds)
        it = std::exp(-(it - best) / (m_parameters.tieShare * unit));
    return seconds;
}

std::size_t EvenLoad::pick(std::span<const Candidate> candidates, const EngineDemand& demand,
    std::optional<std::uint64_t> affinity, Random& random, TimePoint now) const
{
    const auto all = weights(candidates, demand, affinity, now);
    double sum = 0;
    for (const auto it : all)
        sum += it;
    double point = random.uniform() * sum;
    for (std::size_t i = 0; i < all.size(); ++i) {
        point -= all[i];
        if (point < 0)
            return i;
    }
    return static_cast<std::size_t>(std::max_element(all.begin(), all.end()) - all.begin());
}

void EvenLoad::onCallSent(PlacedCallId id, const BackendServerId& serverId, const EngineDemand& demand, TimePoint now)
{
    const auto key = hashOf(serverId.value());
    auto* server = find(key);
    if (server == nullptr)
        return;
    Call call { key, 0, waitingTokens(*server, now), 0, now };
    if (isEngine()) {
        call.unreadTokens = demand.ownTokens() + sharedTokensToRead(*server, demand, 0, now);
        call.heldTokens = demand.promptTokens() + demand.outputTokens;
        m_unreadTokens.add(call.unreadTokens);
        m_heldTokens.add(call.heldTokens);
        server->cache.onUsed(demand.sharedParts(), now);
        recordUses(demand, now);
    }
    server->load.onCallStarted(now);
    server->memory.onCallStarted(call.heldTokens);
    server->unreadTokens += call.unreadTokens;
    m_calls.emplace(id, call);
}

std::optional<double> EvenLoad::onCallBegan(PlacedCallId id, TimePoint now)
{
    const auto it = m_calls.find(id);
    if (it == m_calls.end() || std::exchange(it->second.began, true))
        return std::nullopt;
    const auto& call = it->second;
    auto* server = find(call.server);
    if (server == nullptr)
        return std::nullopt;
    server->unreadTokens = std::max(0.0, server->unreadTokens - call.unreadTokens);
    const double seconds = toSeconds(now - call.sentAt);
    m_readingSeconds.add(seconds);
    if (!isEngine() || call.unreadTokens < minMeasuredTokens)
        return std::nullopt;
    const double usualSeconds = seconds / server->speed.slowdown(m_parameters.slowdownHalfLife, now);
    const double ratio = usualSeconds / ((call.unreadTokens + call.tokensAhead) * m_secondsPerToken);
    server->speed.onMeasured(ratio, now);
    m_secondsPerToken *= std::exp(readingSmoothing * std::log(std::clamp(ratio, 1 / maxReadingRatio, maxReadingRatio)));
    return ratio;
}

void EvenLoad::onTimeRatio(std::uint64_t server, double ratio, TimePoint measuredAt)
{
    if (auto* known = find(server))
        known->speed.onMeasured(ratio, measuredAt);
}

std::optional<double> EvenLoad::onCallEnded(PlacedCallId id, bool succeeded, TimePoint now)
{
    const auto it = m_calls.find(id);
    if (it == m_calls.end())
        return std::nullopt;
    const auto call = it->second;
    m_calls.erase(it);
    auto* server = find(call.server);
    if (server == nullptr)
        return std::nullopt;
    server->load.onCallEnded(now);
    server->memory.onCallEnded(call.heldTokens);
    if (!call.began)
        server->unreadTokens = std::max(0.0, server->unreadTokens - call.unreadTokens);
    if (!succeeded)
        return std::nullopt;
    const double seconds = toSeconds(now - call.sentAt);
    const double ratio = seconds / server->speed.slowdown(m_parameters.slowdownHalfLife, now) / meanCallSeconds();
    m_callSeconds.add(seconds);
    if (isEngine())
        return std::nullopt;
    server->speed.onMeasured(ratio, now);
    return ratio;
}

void EvenLoad::onReport(const SharedLoad& report, TimePoint now)
{
    auto* server = find(report.server);
    if (server == nullptr)
        return;
    const auto measuredAt = now - report.age;
    const double before = server->load.otherCalls();
    const double levelKept = decay(measuredAt - server->load.reportedAt(), m_parameters.levelTime);
    server->load.onReport({ report.running, report.queued, measuredAt });
    server->level = levelKept * server->level + (1 - levelKept) * server->load.otherCalls();
    m_meanOtherCalls += (server->load.otherCalls() - before) / static_cast<double>(m_servers.size());
    server->speed.onSlowdown(report.slowdown, measuredAt);
    updateUsualSlowdown(now);
    if (report.timeRatio > 0)
        server->speed.onMeasured(report.timeRatio, measuredAt);
}

KnownLoad EvenLoad::knownLoad(TimePoint now) const
{
    KnownLoad known;
    const auto n = static_cast<double>(m_servers.size());
    double squares = 0;
    long reports = 0;
    for (const auto& it : m_servers) {
        const double calls = it.second.load.ownCalls() + otherCalls(it.second, now);
        known.meanCalls += calls / n;
        squares += calls * calls / n;
        if (it.second.load.reportedAt() == TimePoint {}) {
            ++known.silentServers;
            continue;
        }
        known.meanAge += now - it.second.load.reportedAt();
        ++reports;
    }
    if (reports > 0)
        known.meanAge /= reports;
    const double variance = std::max(0.0, squares - known.meanCalls * known.meanCalls);
    known.spread = known.meanCalls > 0 ? std::sqrt(variance) / known.meanCalls : 0;
    return known;
}

} // namespace foxtailwheel::routing
