#include "foxtailwheel/bench/Simulation.h"

#include "FakeServer.h"
#include "ResultCollector.h"
#include "foxtailwheel/base/Hash.h"
#include "foxtailwheel/base/Random.h"

#include <algorithm>
#include <functional>
#include <map>
#include <queue>
#include <unordered_map>

namespace foxtailwheel::bench {

namespace {

    using namespace std::chrono_literals;
    using pipeline::CallFailure;

    constexpr Duration warmUp = 5s;
    constexpr Duration coolDown = 10s;
    constexpr double callTimeSigma = 0.35; ///< Sigma of the log-normal distribution of call times.
    constexpr Duration retransmissionDelay = 200ms;
    constexpr double lossProbability = 0.02;
    constexpr Duration lossyZoneExtraDelay = 20ms;
    constexpr Duration connectTimeout = 500ms;
    constexpr double firstTokenTimeShare = 0.2;
    constexpr double stragglerSlowdown = 5;
    constexpr double burstFactor = 4;
    /// Assumed delay from a request to its answer, for assigning answers to a burst; about the median request latency.
    constexpr Duration burstAnswerDelay = 500ms;
    constexpr std::uint64_t sharedPrefixCount = 200;
    constexpr Duration defaultReportDelay = 100ms;
    constexpr Duration crashDelay = 2s; ///< After the start of the measured time.

    struct Event {
        TimePoint due;
        std::uint64_t order = 0;
        std::function<void()> action;
    };

    struct RunsLater {
        bool operator()(const Event& a, const Event& b) const
        {
            return a.due != b.due ? a.due > b.due : a.order > b.order;
        }
    };

    struct ActiveRequest {
        TimePoint submittedAt;
        std::size_t account = 0;
        PipelineId pipeline;
        bool usesBottleneck = false;
        bool firstTokenReceived = false;
        std::uint64_t requestNumber = 0; ///< Sequence number of the request, the same under every policy.
    };

    class Simulation {
    public:
        explicit Simulation(const Scenario& scenario);
        SimulationResult run();

    private:
        using CallPtr = std::shared_ptr<FakeCall>;

        void schedule(Duration delay, std::function<void()> action);
        void buildServers();
        void buildInstances();
        void scheduleFaults();
        void scheduleArrival();
        void submitRequest();
        bool isBurst(TimePoint at) const;
        std::size_t pickAccount(bool inBurst);
        void handleActions(std::size_t instance, serving::Actions actions);
        void startCall(std::size_t instance, serving::SendCall send);
        void onCallArrived(const CallPtr& call, FakeServer& server);
        void startExecution(const CallPtr& call, FakeServer& server);
        void finishExecution(const CallPtr& call, FakeServer& server);
        void releaseSlot(FakeServer& server);
        void deliverResponse(const CallPtr& call, FakeServer& server);
        void failCall(const CallPtr& call, CallFailure failure);
        void reportLoad(const FakeServer& server, std::size_t instance);
        void cancelCall(const pipeline::AttemptId& id);
        void crashServer(FakeServer& server, bool unresponsive);
        double availableCapacity() const;
        Duration networkDelay(const AvailabilityZoneId& a, const AvailabilityZoneId& b);
        double callSeconds(const FakeCall& call, const config::Service& service) const;
        AvailabilityZoneId zoneOf(std::size_t instance) const;

        /// Calls a method of an instance's dispatcher and handles the returned actions.
        template <class Method, class... Args> void callDispatcher(std::size_t instance, Method method, Args&&... args)
        {
            serving::Actions actions;
            ((*m_instances[instance]).*method)(std::forward<Args>(args)..., m_now, actions);
            handleActions(instance, std::move(actions));
        }

        Scenario m_scenario;
        const Deployment& m_deployment;
        Random m_random; ///< Network delays, losses, claim times and poll times.
        Random m_arrivalRandom; ///< A separate generator gives every policy the same requests.
        TimePoint m_now { 1h };
        TimePoint m_start;
        TimePoint m_end;
        std::uint64_t m_nextEventOrder = 0;
        std::uint64_t m_requestCount = 0;
        std::priority_queue<Event, std::vector<Event>, RunsLater> m_events;
        std::map<BackendServerId, FakeServer> m_servers;
        std::vector<std::unique_ptr<serving::Dispatcher>> m_instances;
        std::map<RunId, ActiveRequest> m_activeRequests;
        std::map<pipeline::AttemptId, CallPtr> m_calls;
        double m_arrivalsPerSecond = 0;
        double m_capacity = 0; ///< Calls per second of the bottleneck service.
        Duration m_reportDelay = defaultReportDelay;
        ResultCollector m_collector;
    };

    Simulation::Simulation(const Scenario& scenario)
        : m_scenario(scenario)
        , m_deployment(*scenario.deployment)
        , m_random(scenario.seed)
        , m_arrivalRandom(scenario.seed + 1)
        , m_start(m_now + warmUp)
        , m_end(m_start + scenario.duration)
        , m_collector(*m_deployment.declarations)
    {
        buildServers();
        buildInstances();
    }

    void Simulation::schedule(Duration delay, std::function<void()> action)
    {
        m_events.push({ m_now + delay, m_nextEventOrder++, std::move(action) });
    }

    void Simulation::buildServers()
    {
        for (const auto& service : m_deployment.declarations->services) {
            for (const auto& it : service.servers) {
                auto& server = m_servers[it.id];
                server.service = &service;
                server.declaration = it;
            }
        }
        const auto& bottleneck
            = *m_deployment.declarations->findService(m_deployment.declarations->pipelines.front().result);
        const double meanSeconds = toSeconds(bottleneck.typicalTime) * std::exp(callTimeSigma * callTimeSigma / 2);
        m_capacity = static_cast<double>(bottleneck.servers.size() * bottleneck.concurrency) / meanSeconds;
        // 70% of the requests use the bottleneck service.
        m_arrivalsPerSecond = m_capacity * m_scenario.load / 0.7;
    }

    void Simulation::buildInstances()
    {
        for (std::size_t i = 0; i < m_deployment.instanceCount; ++i) {
            auto options = dispatcherOptions(m_scenario.policy);
            options.pools.self = InstanceId("instance-" + std::to_string(i));
            options.pools.zone = zoneOf(i);
            options.pools.seed = m_scenario.seed;
            m_instances.push_back(serving::makeDispatcher(options));
            m_instances.back()->configure(ConfigVersion(1), m_deployment.declarations);
            m_instances.back()->setInstanceCount(m_deployment.instanceCount);
        }
    }

    AvailabilityZoneId Simulation::zoneOf(std::size_t instance) const
    {
        const auto& zones = m_deployment.declarations->zones;
        return zones[instance % zones.size()].id;
    }

    Duration Simulation::networkDelay(const AvailabilityZoneId& a, const AvailabilityZoneId& b)
    {
        constexpr double withinZone = 0.0003;
        const auto* link = m_deployment.declarations->findLink(a, b);
        if (link == nullptr)
            return fromSeconds(withinZone);
        auto time = fromSeconds(toSeconds(link->oneWay) * (0.9 + m_random.exponential(0.2)));
        const auto& lossy = m_deployment.declarations->zones.back().id;
        if (m_scenario.fault == InjectedFault::LossyZone && (a == lossy || b == lossy)) {
            time += lossyZoneExtraDelay;
            if (m_random.chance(lossProbability))
                time += retransmissionDelay;
        }
        return time;
    }

    void Simulation::scheduleFaults()
    {
        if (m_scenario.fault == InjectedFault::Lag1s)
            m_reportDelay = 1s;
        if (m_scenario.fault == InjectedFault::Lag5s)
            m_reportDelay = 5s;
        std::size_t n = 0;
        for (auto& it : m_servers) {
            auto& server = it.second;
            if (m_scenario.fault == InjectedFault::Straggler
                && server.declaration.id == server.service->servers.front().id)
                schedule(warmUp, [&server] { server.slowdown = stragglerSlowdown; });
            if (m_scenario.fault == InjectedFault::Deaths && n++ % 10 == 0)
                schedule(warmUp + crashDelay,
                    [this, &server, unresponsive = n % 20 == 1] { crashServer(server, unresponsive); });
        }
    }

    void Simulation::crashServer(FakeServer& server, bool unresponsive)
    {
        server.crashed = true;
        server.unresponsive = unresponsive;
        if (unresponsive)
            return;
        for (auto& it : m_calls) {
            const auto& call = it.second;
            if (call->send.server.id == server.declaration.id)
                schedule(networkDelay(zoneOf(call->instance), server.declaration.zone),
                    [this, call] { failCall(call, CallFailure::ConnectionLost); });
        }
    }

    /// Returns the number of calls that the bottleneck service can execute in the measured time, reduced by crashed and
    /// slow servers.
    double Simulation::availableCapacity() const
    {
        const auto& bottleneck = m_deployment.declarations->pipelines.front().result;
        const double duration = toSeconds(m_scenario.duration);
        double serverCount = 0;
        double availableServers = 0;
        for (const auto& it : m_servers) {
            if (it.second.service->id != bottleneck)
                continue;
            serverCount += 1;
            availableServers += it.second.crashed ? toSeconds(crashDelay) / duration : 1 / it.second.slowdown;
        }
        return m_capacity * duration * availableServers / serverCount;
    }

    void Simulation::scheduleArrival()
    {
        const bool inBurst = isBurst(m_now);
        const double loadFactor = inBurst ? 1 + m_deployment.accountShares.front() * (burstFactor - 1) : 1;
        schedule(fromSeconds(m_arrivalRandom.exponential(1 / (m_arrivalsPerSecond * loadFactor))), [this] {
            if (m_now >= m_end)
                return;
            submitRequest();
            scheduleArrival();
        });
    }

    bool Simulation::isBurst(TimePoint at) const
    {
        return m_scenario.fault == InjectedFault::Burst && at >= m_start + m_scenario.duration / 4
            && at < m_start + m_scenario.duration / 2;
    }

    std::size_t Simulation::pickAccount(bool inBurst)
    {
        const auto& shares = m_deployment.accountShares;
        const double firstShare = shares.front() * (inBurst ? burstFactor : 1);
        double position = m_arrivalRandom.uniform() * (1 - shares.front() + firstShare);
        for (std::size_t i = 0; i < shares.size(); ++i) {
            position -= i == 0 ? firstShare : shares[i];
            if (position < 0)
                return i;
        }
        return shares.size() - 1;
    }

    void Simulation::submitRequest()
    {
        const auto& pipelines = m_deployment.declarations->pipelines;
        const double pipelineDraw = m_arrivalRandom.uniform();
        const std::size_t pipelineIndex = pipelineDraw < 0.7 ? 0 : (pipelineDraw < 0.9 ? 1 : 2);
        const bool inBurst = isBurst(m_now);
        ActiveRequest activeRequest { m_now, pickAccount(inBurst), pipelines[pipelineIndex].id, pipelineIndex == 0,
            false, m_requestCount++ };
        serving::SubmitRequest request;
        request.pipeline = activeRequest.pipeline;
        request.account = m_deployment.declarations->accounts[activeRequest.account].id;
        request.body = pipeline::makePayload("{}");
        request.stream = pipelineIndex == 0;
        request.prefix = m_arrivalRandom.next();
        if (m_scenario.fault == InjectedFault::SharedPrefixes) {
            // Squaring the uniform number makes low prefix numbers more likely, so that a few prefixes are popular.
            const double u = m_arrivalRandom.uniform();
            request.prefix = static_cast<std::uint64_t>(u * u * sharedPrefixCount);
        }
        const std::size_t instance = m_arrivalRandom.below(m_instances.size());
        const auto id = m_instances[instance]->allocateRunId();
        if (pipelineIndex == 2)
            request.key = IdempotencyKey(std::to_string(id.value()));
        if (m_now >= m_start)
            m_collector.onRequest(activeRequest.account, activeRequest.usesBottleneck);
        m_activeRequests.emplace(id, activeRequest);
        callDispatcher(instance, &serving::Dispatcher::submit, id, std::move(request));
    }

    void Simulation::handleActions(std::size_t instance, serving::Actions actions)
    {
        for (auto& action : actions) {
            if (auto* call = std::get_if<serving::SendCall>(&action)) {
                startCall(instance, std::move(*call));
            } else if (const auto* cancel = std::get_if<serving::StopCall>(&action)) {
                cancelCall(cancel->id);
            } else if (const auto* timer = std::get_if<pipeline::SetTimer>(&action)) {
                schedule(std::max<Duration>(timer->at - m_now, 0s),
                    [this, instance, id = timer->id] { callDispatcher(instance, &serving::Dispatcher::onTimer, id); });
            } else if (const auto* claim = std::get_if<serving::AcquireClaim>(&action)) {
                // The table responds within a few milliseconds; the outcome tests cover its faults.
                schedule(fromSeconds(0.002 + m_random.exponential(0.003)),
                    [this, instance, run = claim->run, stage = claim->stage] {
                        callDispatcher(instance, &serving::Dispatcher::onClaim, run, stage,
                            pipeline::ClaimResult { pipeline::ClaimState::Granted, nullptr });
                    });
            } else if (const auto* tokens = std::get_if<pipeline::EmitTokens>(&action)) {
                auto& activeRequest = m_activeRequests.at(tokens->run);
                if (!std::exchange(activeRequest.firstTokenReceived, true) && activeRequest.submittedAt >= m_start)
                    m_collector.onFirstToken(m_now - activeRequest.submittedAt);
            } else if (const auto* reply = std::get_if<serving::Reply>(&action)) {
                const auto it = m_activeRequests.find(reply->run);
                const auto& activeRequest = it->second;
                const bool answered = reply->outcome.kind == pipeline::OutcomeKind::Answered;
                if (answered && activeRequest.usesBottleneck && m_now >= m_start && m_now < m_end)
                    m_collector.onBottleneckAnswer(activeRequest.account, isBurst(m_now - burstAnswerDelay));
                if (activeRequest.submittedAt >= m_start)
                    m_collector.onReply(m_now - activeRequest.submittedAt, *reply);
                m_activeRequests.erase(it);
            }
        }
    }

    void Simulation::startCall(std::size_t instance, serving::SendCall send)
    {
        auto& server = m_servers.at(send.server.id);
        if (m_now >= m_start)
            m_collector.onCallSent(*server.service, send.call.isRetryOrHedge);
        auto call = std::make_shared<FakeCall>();
        call->instance = instance;
        call->requestNumber = m_activeRequests.at(send.call.id.run).requestNumber;
        call->send = std::move(send);
        m_calls[call->send.call.id] = call;
        const auto delay = networkDelay(zoneOf(instance), server.declaration.zone);
        if (server.crashed) {
            const auto failureDelay = std::min(connectTimeout, std::max<Duration>(call->send.call.sendBy - m_now, 0s));
            schedule(
                server.unresponsive ? failureDelay : delay * 2, [this, call] { failCall(call, CallFailure::NotSent); });
            return;
        }
        m_instances[instance]->onSent(call->send.call.id, m_now);
        schedule(delay, [this, call, &server] { onCallArrived(call, server); });
    }

    void Simulation::onCallArrived(const CallPtr& call, FakeServer& server)
    {
        if (call->cancelled || call->completed)
            return;
        if (server.crashed) {
            if (!server.unresponsive)
                failCall(call, CallFailure::ConnectionLost);
            return;
        }
        if (server.runningCalls >= server.service->concurrency)
            server.queue.push_back(call);
        else
            startExecution(call, server);
    }

    /// Returns the duration of a call, drawn from a generator that is seeded by scenario, request, stage and attempt,
    /// so that call times are the same under every policy.
    double Simulation::callSeconds(const FakeCall& call, const config::Service& service) const
    {
        const auto& id = call.send.call.id;
        const auto seed = m_scenario.seed + (call.requestNumber << 16U) + (id.stage << 8U) + id.attempt.value();
        return Random(seed).logNormal(toSeconds(service.typicalTime), callTimeSigma);
    }

    void Simulation::startExecution(const CallPtr& call, FakeServer& server)
    {
        ++server.runningCalls;
        call->running = true;
        double seconds = callSeconds(*call, *server.service) * server.slowdown;
        const bool engine = server.service->kind == config::ServiceKind::ModelEngine;
        if (engine && call->send.prefix && server.touchPrefix(*call->send.prefix))
            seconds *= 1 - prefixCacheSaving;
        if (engine && call->send.prefix) {
            const routing::CacheEvent event { ++server.cacheSequence, *call->send.prefix, false };
            for (std::size_t i = 0; i < m_instances.size(); ++i) {
                // Cache events are delayed, and 2% are lost.
                if (!m_random.chance(0.02))
                    schedule(m_reportDelay, [this, i, event, &server] {
                        m_instances[i]->onCacheEvent(server.service->id, server.declaration.id, event);
                    });
            }
        }
        if (engine) {
            schedule(fromSeconds(seconds * firstTokenTimeShare), [this, call, &server] {
                if (!call->cancelled && !call->completed && !server.crashed)
                    schedule(networkDelay(zoneOf(call->instance), server.declaration.zone), [this, call] {
                        if (!call->cancelled && !call->completed)
                            callDispatcher(call->instance, &serving::Dispatcher::onTokens, call->send.call.id,
                                call->send.call.resumeFrom, std::vector<std::string> { "t" });
                    });
            });
        }
        schedule(fromSeconds(seconds), [this, call, &server] { finishExecution(call, server); });
    }

    void Simulation::releaseSlot(FakeServer& server)
    {
        --server.runningCalls;
        while (!server.queue.empty() && server.runningCalls < server.service->concurrency) {
            const auto next = server.queue.front();
            server.queue.pop_front();
            if (!next->cancelled && !next->completed)
                startExecution(next, server);
        }
    }

    void Simulation::finishExecution(const CallPtr& call, FakeServer& server)
    {
        if (!std::exchange(call->running, false) || server.crashed)
            return;
        releaseSlot(server);
        const auto delay = networkDelay(server.declaration.zone, zoneOf(call->instance));
        schedule(delay, [this, call, &server] { deliverResponse(call, server); });
    }

    void Simulation::deliverResponse(const CallPtr& call, FakeServer& server)
    {
        reportLoad(server, call->instance);
        if (call->cancelled || std::exchange(call->completed, true))
            return;
        const auto id = call->send.call.id;
        m_calls.erase(id);
        if (server.service->kind == config::ServiceKind::ModelEngine)
            callDispatcher(call->instance, &serving::Dispatcher::onStreamEnd, id, call->send.call.resumeFrom + 1);
        else
            callDispatcher(call->instance, &serving::Dispatcher::onAnswer, id, pipeline::makePayload("{}"));
    }

    void Simulation::reportLoad(const FakeServer& server, std::size_t instance)
    {
        const routing::LoadReport load { server.runningCalls, static_cast<std::uint32_t>(server.queue.size()), m_now };
        schedule(m_reportDelay, [this, instance, load, &server] {
            m_instances[instance]->onLoadReport(server.service->id, server.declaration.id, load);
        });
    }

    void Simulation::failCall(const CallPtr& call, CallFailure failure)
    {
        if (call->cancelled || std::exchange(call->completed, true))
            return;
        const auto id = call->send.call.id;
        m_calls.erase(id);
        callDispatcher(call->instance, &serving::Dispatcher::onFailure, id, failure);
    }

    void Simulation::cancelCall(const pipeline::AttemptId& id)
    {
        const auto it = m_calls.find(id);
        if (it == m_calls.end())
            return;
        const auto call = it->second;
        m_calls.erase(it);
        call->cancelled = true;
        auto& server = m_servers.at(call->send.server.id);
        schedule(networkDelay(zoneOf(call->instance), server.declaration.zone), [this, call, &server] {
            if (std::exchange(call->running, false) && !server.crashed)
                releaseSlot(server);
        });
    }

    SimulationResult Simulation::run()
    {
        scheduleFaults();
        scheduleArrival();
        // In addition to the load reports in responses, each instance polls the load of each server once per second.
        for (std::size_t i = 0; i < m_instances.size(); ++i) {
            for (auto& it : m_servers) {
                const auto* server = &it.second;
                const std::function<void()> poll = [this, i, server] {
                    if (!server->crashed)
                        reportLoad(*server, i);
                };
                for (Duration at = fromSeconds(m_random.uniform()); at < warmUp + m_scenario.duration; at += 1s)
                    schedule(at, poll);
            }
        }
        while (!m_events.empty() && m_events.top().due < m_end + coolDown) {
            const auto action = m_events.top().action;
            m_now = m_events.top().due;
            m_events.pop();
            action();
        }
        const double capacity = availableCapacity();
        return m_collector.result(capacity, m_scenario.fault == InjectedFault::Burst ? capacity / 4 : 0);
    }

} // namespace

SimulationResult simulate(const Scenario& scenario)
{
    return Simulation(scenario).run();
}

} // namespace foxtailwheel::bench
