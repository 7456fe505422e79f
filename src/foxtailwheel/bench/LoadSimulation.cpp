#include "foxtailwheel/bench/LoadSimulation.h"

#include "foxtailwheel/base/Hash.h"
#include "foxtailwheel/routing/ServerPool.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <queue>

namespace foxtailwheel::bench {

namespace {

    using namespace std::chrono_literals;

    constexpr TimePoint start { 1h };
    constexpr Duration samplePeriod = 50ms;
    constexpr Duration cacheRetention = 9s;
    constexpr double readingTokensPerSecond = 36000;
    constexpr Duration slowPhase = 600ms;
    /// About the mean age of the newest report of a server among many instances.
    constexpr Duration timeRatioPeriod = 1s;
    constexpr double slowFactor = 2.5;
    /// Prompts have a part of 2,500 tokens that very many share and one of 3,800 that few share.
    constexpr std::uint64_t commonParts = 4;
    constexpr std::uint64_t rareParts = 60;
    constexpr std::uint64_t memoryTokens = 300456;

    /// Chooses at random, weighted by the free slots in the last report.
    class RandomByRoom final : public routing::LoadBalancingPolicy {
    public:
        explicit RandomByRoom(double slots)
            : m_slots(slots)
        {
        }
        std::size_t pick(std::span<const routing::Candidate> candidates, Random& random) override
        {
            double sum = 0;
            const auto room = [this](const auto& it) { return std::max(0.01, m_slots - it.reportedLoad); };
            for (const auto& it : candidates)
                sum += room(it);
            double point = random.uniform() * sum;
            for (std::size_t i = 0; i < candidates.size(); ++i) {
                point -= room(candidates[i]);
                if (point < 0)
                    return i;
            }
            return candidates.size() - 1;
        }

    private:
        double m_slots;
    };

    struct SimulatedCall {
        std::size_t instance = 0;
        std::size_t server = 0;
        routing::EngineDemand demand;
        TimePoint sentAt;
    };

    struct SimulatedServer {
        BackendServerId id;
        double timeFactor = 1;
        std::uint32_t running = 0;
        std::deque<std::size_t> queue; ///< Calls.
        TimePoint readerFreeAt {};
        std::unordered_map<std::uint64_t, TimePoint> cache;
        std::vector<std::pair<TimePoint, routing::SharedLoad>> reports; ///< At each change, oldest first.
        std::vector<std::pair<TimePoint, double>> timeRatios; ///< Measured by any instance, oldest first.
    };

    struct SimulatedInstance {
        std::unique_ptr<routing::ServerPool> pool;
        routing::EvenLoad evenLoad;
        std::vector<std::size_t> nextTimeRatios = {}; ///< By server: first of its ratios that is not known here.
    };

    enum class EventKind { Arrival, FirstEvent, End, Sample };

    struct Event {
        TimePoint at;
        std::uint64_t sequence = 0;
        EventKind kind = EventKind::Arrival;
        std::size_t call = 0;

        friend bool operator>(const Event& a, const Event& b)
        {
            return std::pair(a.at, a.sequence) > std::pair(b.at, b.sequence);
        }
    };

    class LoadSimulation {
    public:
        explicit LoadSimulation(const LoadScenario& scenario);
        LoadResult run();

    private:
        void schedule(TimePoint at, EventKind kind, std::size_t call = 0)
        {
            m_events.push({ at, ++m_sequence, kind, call });
        }
        void handle(const Event& event);
        void onArrival();
        void begin(std::size_t call);
        void onFirstEvent(std::size_t call);
        void onEnd(std::size_t call);
        void sample();
        void giveReports(SimulatedInstance& instance);
        void giveTimeRatios(SimulatedInstance& instance);
        void report(SimulatedServer& server);
        routing::EngineDemand makeDemand();
        double slowdown(const SimulatedServer& server) const;
        bool isCounted() const { return m_now - start > m_scenario.time / 4; }

        const LoadScenario& m_scenario;
        Random m_random;
        std::vector<SimulatedServer> m_servers;
        std::vector<SimulatedInstance> m_instances;
        std::vector<SimulatedCall> m_calls;
        std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
        std::uint64_t m_sequence = 0;
        TimePoint m_now = start;
        LoadResult m_sums;
        std::size_t m_samples = 0;
        std::size_t m_counted = 0;
        double m_sharedTokens = 0;
        std::vector<Duration> m_times;
    };

    LoadSimulation::LoadSimulation(const LoadScenario& scenario)
        : m_scenario(scenario)
        , m_random(scenario.seed)
    {
        config::Service service;
        service.id = ServiceId("service");
        service.kind = scenario.engines ? config::ServiceKind::ModelEngine : config::ServiceKind::Plain;
        service.typicalTime = scenario.callTime;
        service.concurrency = scenario.slots;
        std::vector<BackendServerId> ids;
        for (std::size_t i = 0; i < scenario.servers; ++i) {
            ids.emplace_back("server-" + std::to_string(i));
            service.servers.push_back({ ids.back(), "10.0.0.1", static_cast<std::uint16_t>(1000 + i), {} });
            m_servers.push_back(
                { ids.back(), scenario.timeFactors[i % scenario.timeFactors.size()], 0, {}, {}, {}, {}, {} });
        }
        for (std::size_t i = 0; i < scenario.instances; ++i) {
            routing::PoolOptions options;
            options.self = InstanceId("instance-" + std::to_string(i));
            options.subsetSize = scenario.choice == ChoiceKind::Subset ? 8 : 4096;
            options.seed = scenario.seed;
            if (scenario.choice == ChoiceKind::PowerOfTwo)
                options.policy = routing::LoadBalancingPolicyKind::PowerOfTwoChoices;
            else if (scenario.choice == ChoiceKind::LeastReported)
                options.policy = routing::LoadBalancingPolicyKind::LeastReportedLoad;
            SimulatedInstance instance { routing::ServerPool::create(service, {}, options),
                routing::EvenLoad(scenario.parameters) };
            instance.evenLoad.configure(ids, scenario.slots, scenario.engines ? memoryTokens : 0);
            instance.evenLoad.setInstanceCount(scenario.instances);
            instance.nextTimeRatios.resize(scenario.servers);
            m_instances.push_back(std::move(instance));
        }
    }

    routing::EngineDemand LoadSimulation::makeDemand()
    {
        const std::uint64_t own = m_random.next();
        if (!m_scenario.engines)
            return {};
        if (!m_random.chance(m_scenario.longShare))
            return { { { own, 300 } }, 200 };
        const auto rare = m_random.below(rareParts);
        return { { { 1 + rare % commonParts, 2500 }, { 1000 + rare, 3800 }, { own, 2700 } }, 200 };
    }

    double LoadSimulation::slowdown(const SimulatedServer& server) const
    {
        const auto phase = static_cast<std::uint64_t>(m_now.time_since_epoch() / slowPhase);
        const auto draw = static_cast<double>(hashOf(server.id.value(), phase) % 1000) / 1000;
        return draw < m_scenario.slowShare ? slowFactor : 1;
    }

    void LoadSimulation::report(SimulatedServer& server)
    {
        server.reports.push_back({ m_now,
            { hashOf(server.id.value()), server.running, static_cast<std::uint32_t>(server.queue.size()),
                m_scenario.reportsSlowdown ? slowdown(server) : 1, {} } });
    }

    /// Gives the instance the newest report of each server that is as old as the scenario says.
    void LoadSimulation::giveReports(SimulatedInstance& instance)
    {
        const auto elapsed = m_now - start;
        if (!m_scenario.reportsArrive || (elapsed >= m_scenario.cutOffAt && elapsed < m_scenario.cutOffEnd))
            return;
        for (const auto& server : m_servers) {
            auto it = std::upper_bound(server.reports.begin(), server.reports.end(), m_now - m_scenario.reportAge,
                [](TimePoint at, const auto& entry) { return at < entry.first; });
            if (it == server.reports.begin())
                continue;
            auto report = std::prev(it)->second;
            const auto at = m_now - m_scenario.reportAge;
            instance.pool->onLoadReport(server.id, { report.running, report.queued, at });
            report.age = m_scenario.reportAge;
            instance.evenLoad.onReport(report, m_now);
        }
        if (m_scenario.sharesSpeed)
            giveTimeRatios(instance);
    }

    /// Gives the instance at most one measured time of each server in `timeRatioPeriod`, as by the newest reports.
    void LoadSimulation::giveTimeRatios(SimulatedInstance& instance)
    {
        for (std::size_t i = 0; i < m_servers.size(); ++i) {
            const auto& ratios = m_servers[i].timeRatios;
            auto& next = instance.nextTimeRatios[i];
            auto givenAt = TimePoint::min();
            for (; next < ratios.size() && ratios[next].first <= m_now - m_scenario.reportAge; ++next) {
                const auto& [at, ratio] = ratios[next];
                if (givenAt != TimePoint::min() && at - givenAt < timeRatioPeriod)
                    continue;
                instance.evenLoad.onTimeRatio(hashOf(m_servers[i].id.value()), ratio, at);
                givenAt = at;
            }
        }
    }

    void LoadSimulation::onArrival()
    {
        schedule(m_now + fromSeconds(m_random.exponential(1 / m_scenario.requestsPerSecond)), EventKind::Arrival);
        const auto index = m_random.below(m_instances.size());
        auto& instance = m_instances[index];
        giveReports(instance);
        SimulatedCall call { index, 0, makeDemand(), m_now };
        const auto& prompt = call.demand.prompt;
        routing::PlacementRequest request;
        const auto affinity
            = prompt.empty() ? std::nullopt : std::optional(prompt[prompt.size() > 1 ? prompt.size() - 2 : 0].id);
        routing::EvenLoadPolicy evenLoad(instance.evenLoad, call.demand, affinity, m_now);
        RandomByRoom randomByRoom(m_scenario.slots);
        if (m_scenario.choice == ChoiceKind::EvenLoad)
            request.policy = &evenLoad;
        else if (m_scenario.choice == ChoiceKind::RandomByRoom)
            request.policy = &randomByRoom;
        else if (m_scenario.choice == ChoiceKind::Rendezvous)
            request.affinityKey = affinity;
        const auto placement = instance.pool->place(request, m_now);
        const auto found = std::find_if(m_servers.begin(), m_servers.end(),
            [&](const SimulatedServer& it) { return it.id == placement->server.id; });
        call.server = static_cast<std::size_t>(found - m_servers.begin());
        const auto id = m_calls.size();
        instance.evenLoad.onCallSent(routing::PlacedCallId(id), placement->server.id, call.demand, m_now);
        m_calls.push_back(std::move(call));
        m_counted += isCounted() ? 1 : 0;
        if (found->running < m_scenario.slots) {
            begin(id);
        } else {
            found->queue.push_back(id);
            m_sums.fullShare += isCounted() ? 1 : 0;
        }
        report(*found);
    }

    void LoadSimulation::begin(std::size_t id)
    {
        auto& call = m_calls[id];
        auto& server = m_servers[call.server];
        ++server.running;
        double tokens = call.demand.promptTokens();
        bool cached = true;
        for (const auto& it : call.demand.sharedParts()) {
            const auto known = server.cache.find(it.id);
            cached = cached && known != server.cache.end() && m_now - known->second <= cacheRetention;
            tokens -= cached ? it.tokens : 0;
            if (isCounted()) {
                m_sharedTokens += it.tokens;
                m_sums.readAgainShare += cached ? 0 : it.tokens;
            }
            server.cache[it.id] = m_now;
        }
        const double seconds = tokens / readingTokensPerSecond * server.timeFactor * slowdown(server);
        server.readerFreeAt = std::max(server.readerFreeAt, m_now) + fromSeconds(seconds);
        schedule(server.readerFreeAt, EventKind::FirstEvent, id);
    }

    void LoadSimulation::onFirstEvent(std::size_t id)
    {
        const auto& call = m_calls[id];
        auto& server = m_servers[call.server];
        if (const auto ratio = m_instances[call.instance].evenLoad.onCallBegan(routing::PlacedCallId(id), m_now))
            server.timeRatios.emplace_back(m_now, *ratio);
        if (isCounted() && call.demand.prompt.size() > 1)
            m_times.push_back(m_now - call.sentAt);
        const double seconds
            = m_random.logNormal(toSeconds(m_scenario.callTime), 0.4) * server.timeFactor * slowdown(server);
        schedule(m_now + fromSeconds(seconds), EventKind::End, id);
    }

    void LoadSimulation::onEnd(std::size_t id)
    {
        const auto& call = m_calls[id];
        auto& server = m_servers[call.server];
        auto& instance = m_instances[call.instance];
        instance.pool->onCallEnded(server.id, { routing::CallOutcome::Success, m_now - call.sentAt, {} }, m_now);
        instance.evenLoad.onCallEnded(routing::PlacedCallId(id), true, m_now);
        if (isCounted() && !m_scenario.engines)
            m_times.push_back(m_now - call.sentAt);
        --server.running;
        if (!server.queue.empty()) {
            const auto next = server.queue.front();
            server.queue.pop_front();
            begin(next);
        }
        report(server);
    }

    void LoadSimulation::sample()
    {
        schedule(m_now + samplePeriod, EventKind::Sample);
        if (!isCounted())
            return;
        const auto n = static_cast<double>(m_servers.size());
        double sum = 0;
        double squares = 0;
        double over = 0;
        bool anyIdle = false;
        for (const auto& it : m_servers) {
            const auto calls = static_cast<double>(it.running + it.queue.size());
            sum += calls;
            squares += calls * calls;
            over += it.queue.empty() ? 0 : 1;
            anyIdle = anyIdle || calls < m_scenario.slots / 2.0;
        }
        const double mean = sum / n;
        ++m_samples;
        m_sums.spread += mean == 0 ? 0 : std::sqrt(std::max(0.0, squares / n - mean * mean)) / mean;
        m_sums.unevenShare += anyIdle ? over / n : 0;
    }

    void LoadSimulation::handle(const Event& event)
    {
        switch (event.kind) {
        case EventKind::Arrival:
            onArrival();
            return;
        case EventKind::FirstEvent:
            onFirstEvent(event.call);
            return;
        case EventKind::End:
            onEnd(event.call);
            return;
        case EventKind::Sample:
            sample();
            return;
        }
    }

    LoadResult LoadSimulation::run()
    {
        schedule(start, EventKind::Arrival);
        schedule(start, EventKind::Sample);
        while (m_events.top().at - start < m_scenario.time) {
            const auto event = m_events.top();
            m_events.pop();
            m_now = event.at;
            handle(event);
        }
        auto result = m_sums;
        const auto samples = static_cast<double>(std::max<std::size_t>(1, m_samples));
        result.spread /= samples;
        result.unevenShare /= samples;
        result.fullShare /= static_cast<double>(std::max<std::size_t>(1, m_counted));
        result.readAgainShare /= std::max(1.0, m_sharedTokens);
        std::sort(m_times.begin(), m_times.end());
        const auto quantile = [this](double q) {
            return m_times.empty() ? Duration {}
                                   : m_times[static_cast<std::size_t>(q * static_cast<double>(m_times.size() - 1))];
        };
        result.median = quantile(0.5);
        result.percentile95 = quantile(0.95);
        result.percentile99 = quantile(0.99);
        return result;
    }

} // namespace

LoadResult simulateLoad(const LoadScenario& scenario)
{
    return LoadSimulation(scenario).run();
}

} // namespace foxtailwheel::bench
