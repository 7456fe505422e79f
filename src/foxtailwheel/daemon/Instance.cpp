#include "foxtailwheel/daemon/Instance.h"

#include "CallDriver.h"
#include "CallerApi.h"
#include "Cluster.h"
#include "ConfigService.h"
#include "LoadPoller.h"
#include "OperatorApi.h"
#include "OrderService.h"
#include "foxtailwheel/base/Random.h"
#include "foxtailwheel/control/ClaimCleaner.h"
#include "foxtailwheel/control/ClaimStore.h"
#include "foxtailwheel/daemon/Lifecycle.h"
#include "foxtailwheel/http/Descriptors.h"
#include "foxtailwheel/store/Clients.h"
#include "foxtailwheel/telemetry/Log.h"

#include <algorithm>
#include <array>
#include <condition_variable>
#include <unistd.h>

namespace foxtailwheel::daemon {

namespace {

    using namespace std::chrono_literals;

    constexpr Duration tickPeriod = 100ms;
    constexpr Duration loadPollPeriod = 1s;
    constexpr Duration instanceListPeriod = 2s;
    constexpr Duration clusterTaskPeriod = 1s;
    constexpr Duration claimCleanTimeout = 2s;
    constexpr std::size_t leaseContendersPerPool = 2;
    constexpr Duration instanceListTimeout = 1s;
    constexpr Duration drainCheckPeriod = 20ms;
    /// Time at the end of the drain for the responses of runs that could not be completed.
    constexpr Duration lastResponsesTime = 200ms;

    /// Bounds of what is held for callers and servers. The rest is for the program itself, what the allocator keeps,
    /// and received bytes in sockets.
    http::MemoryBudgetOptions memoryOptions(const config::Settings& settings)
    {
        const auto machineBytes
            = static_cast<std::uint64_t>(sysconf(_SC_PHYS_PAGES)) * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
        const auto bytes = settings.memoryBytes.value_or(machineBytes);
        http::MemoryBudgetOptions options;
        options.maxBytes = bytes / 2;
        // Not more than a client without a budget holds.
        options.maxServerResponseBytes = std::min<std::uint64_t>(http::ClientOptions().maxBufferedBytes, bytes / 4);
        return options;
    }

    http::ClientOptions clientOptions(std::shared_ptr<http::MemoryBudget> memory)
    {
        http::ClientOptions options;
        options.memory = std::move(memory);
        return options;
    }

    serving::DispatcherOptions dispatcherOptions(const config::Settings& settings, std::uint64_t seed)
    {
        serving::DispatcherOptions options;
        options.pools.self = settings.instance;
        options.pools.zone = settings.zone;
        options.pools.seed = seed;
        options.shards = settings.shards;
        return options;
    }

    std::string_view toString(LifecycleState state)
    {
        constexpr std::array<std::string_view, 5> names { "starting", "serving", "announcing", "draining", "stopped" };
        return names.at(static_cast<std::size_t>(state));
    }

    class InstanceImpl final : public Instance {
    public:
        explicit InstanceImpl(config::Settings settings);
        ~InstanceImpl() override { m_pool->stop(); }
        InstanceImpl(const InstanceImpl&) = delete;
        InstanceImpl& operator=(const InstanceImpl&) = delete;

        Result<void> open();
        void shutDown() override;
        std::size_t waitUntilStopped() override;
        std::uint16_t callerPort() const override { return m_callerServer->port(); }
        std::uint16_t operatorPort() const override { return m_operatorServer->port(); }

    private:
        control::RunAfter makeRunAfter();
        ActionExecutor actionExecutor();
        FetchFromPeer peerFetcher();
        OperatorHooks operatorHooks();
        void execute(serving::Actions actions);
        void execute(serving::Action& action);
        void tick();
        void pollLoads();
        void runClusterTasks();
        void cleanClaims(const std::vector<membership::Member>& activeMembers);
        void refreshInstanceList();
        void announce(bool leaving);
        void onInstanceList(const store::InstanceListResult& list);
        void drain(TimePoint deadline);
        void checkDrained(TimePoint deadline);
        bool process(LifecycleEvent event);
        LifecycleState state() const;
        void finishShutdown(std::size_t abortedRequests);
        std::vector<MemberStatus> members() const;

        config::Settings m_settings;
        std::uint64_t m_seed = systemSeed();
        std::unique_ptr<Clock> m_clock = systemClock();
        std::unique_ptr<http::IoPool> m_pool;
        std::shared_ptr<http::MemoryBudget> m_memory;
        std::unique_ptr<http::Client> m_client;
        std::unique_ptr<telemetry::Metrics> m_metrics = telemetry::Metrics::create();
        std::unique_ptr<store::Table> m_table;
        std::unique_ptr<store::InstanceList> m_instanceList;
        std::unique_ptr<serving::Dispatcher> m_dispatcher;
        std::unique_ptr<control::ClaimStore> m_claimStore;
        Cluster m_cluster;
        CallDriver m_callDriver;
        CallerApi m_callerApi;
        ConfigService m_configService;
        LoadPoller m_loadPoller;
        OrderService m_orderService;
        OperatorApi m_operatorApi;
        std::unique_ptr<http::Server> m_callerServer;
        std::unique_ptr<http::Server> m_operatorServer;
        mutable std::mutex m_mutex;
        std::condition_variable m_stoppedCondition;
        Lifecycle m_lifecycle;
        control::ClaimCleaner m_claimCleaner;
        std::size_t m_abortedRequests = 0;
        bool m_endedAll = false; ///< The runs in progress near the end of the drain were ended.
    };

    InstanceImpl::InstanceImpl(config::Settings settings)
        : m_settings(std::move(settings))
        , m_pool(http::IoPool::create(m_settings.threads,
              [](std::string_view detail) {
                  telemetry::logError("work_failed", { { "detail", std::string(detail) } });
              }))
        , m_memory(http::MemoryBudget::create(memoryOptions(m_settings)))
        , m_client(http::Client::create(*m_pool, *m_clock, clientOptions(m_memory)))
        , m_table(store::tableClient(*m_client, *m_clock, m_settings.table, m_seed))
        , m_instanceList(store::instanceListClient(*m_client, m_settings.instanceList))
        , m_dispatcher(serving::makeDispatcher(dispatcherOptions(m_settings, m_seed)))
        , m_claimStore(control::ClaimStore::create(*m_table, *m_clock, m_settings.instance, m_seed + 1, makeRunAfter()))
        , m_cluster(m_settings, *m_clock, *m_dispatcher, m_seed + 3)
        , m_callDriver(*m_client, *m_clock, *m_dispatcher, actionExecutor(),
              [this](const BackendServerId& server) { m_cluster.onServerLeaving(server); })
        , m_callerApi(*m_clock, *m_dispatcher, *m_metrics, actionExecutor())
        , m_configService(*m_table, *m_clock, *m_dispatcher, peerFetcher(), m_seed + 2)
        , m_loadPoller(*m_client, *m_clock, *m_dispatcher)
        , m_orderService(*m_table, *m_client, *m_clock, *m_dispatcher, *m_metrics, m_settings.instance)
        , m_operatorApi(m_settings, *m_clock, *m_dispatcher, m_configService, *m_table, operatorHooks())
    {
    }

    control::RunAfter InstanceImpl::makeRunAfter()
    {
        return [this](Duration delay, std::function<void()> work) { m_pool->postAfter(delay, std::move(work)); };
    }

    ActionExecutor InstanceImpl::actionExecutor()
    {
        return [this](serving::Actions actions) { execute(std::move(actions)); };
    }

    FetchFromPeer InstanceImpl::peerFetcher()
    {
        return [this](const InstanceId& peer, ConfigVersion version, ConfigVersion currentVersion,
                   std::function<void(peer::ConfigReply)> done) {
            m_cluster.fetchConfigText(peer, version, currentVersion, std::move(done));
        };
    }

    OperatorHooks InstanceImpl::operatorHooks()
    {
        return { [this] { return std::string(toString(state())); }, [this] { return members(); },
            [this] { shutDown(); } };
    }

    Result<void> InstanceImpl::open()
    {
        http::ServerOptions callers;
        callers.listen = m_settings.callers;
        callers.maxBodyBytes = m_settings.maxBodyBytes;
        callers.maxConnections = std::min(m_settings.maxConnections, http::maxClientConnections());
        callers.memory = m_memory;
        callers.maxChunkHeaderBytes = m_settings.maxChunkHeaderBytes;
        callers.maxTrailerBytes = m_settings.maxTrailerBytes;
        callers.maxReadBufferBytes = m_settings.maxReadBufferBytes;
        BOOST_OUTCOME_TRY(m_callerServer,
            http::Server::listen(*m_pool, callers,
                [this](const http::Request& request, const std::shared_ptr<http::Responder>& responder) {
                    m_callerApi.handle(request, responder);
                }));
        http::ServerOptions operators;
        operators.listen = m_settings.operators;
        operators.maxBodyBytes = 64U << 20U;
        BOOST_OUTCOME_TRY(m_operatorServer,
            http::Server::listen(*m_pool, operators,
                [this](const http::Request& request, const std::shared_ptr<http::Responder>& responder) {
                    m_operatorApi.handle(request, responder);
                }));
        BOOST_OUTCOME_TRYV(m_cluster.open(*m_pool, m_configService));
        tick();
        pollLoads();
        runClusterTasks();
        refreshInstanceList();
        telemetry::logInfo("started",
            { { "instance", m_settings.instance.value() }, { "zone", m_settings.zone.value() },
                { "callers", m_settings.callers.toString() } });
        return ok();
    }

    void InstanceImpl::execute(serving::Actions actions)
    {
        for (auto& it : actions)
            execute(it);
    }

    void InstanceImpl::execute(serving::Action& action)
    {
        if (auto* send = std::get_if<serving::SendCall>(&action)) {
            m_callDriver.send(std::move(*send));
        } else if (const auto* stop = std::get_if<serving::StopCall>(&action)) {
            m_callDriver.cancel(*stop);
        } else if (const auto* timer = std::get_if<pipeline::SetTimer>(&action)) {
            m_pool->postAfter(timer->at - m_clock->now(), [this, id = timer->id] {
                serving::Actions followUp;
                m_dispatcher->onTimer(id, m_clock->now(), followUp);
                execute(std::move(followUp));
            });
        } else if (const auto* claim = std::get_if<serving::AcquireClaim>(&action)) {
            m_claimStore->acquire(
                *claim, [this, run = claim->run, stage = claim->stage](const pipeline::ClaimResult& result) {
                    serving::Actions followUp;
                    m_dispatcher->onClaim(run, stage, result, m_clock->now(), followUp);
                    execute(std::move(followUp));
                });
        } else if (const auto* completion = std::get_if<serving::CompleteClaim>(&action)) {
            m_claimStore->complete(*completion);
        } else if (const auto* tokens = std::get_if<pipeline::EmitTokens>(&action)) {
            m_callerApi.emit(*tokens);
        } else if (const auto* reply = std::get_if<serving::Reply>(&action)) {
            m_callerApi.reply(*reply);
        }
    }

    void InstanceImpl::tick()
    {
        m_configService.tick();
        m_cluster.tick();
        if (m_configService.caughtUp() && process(LifecycleEvent::ConfigReady)) {
            m_callerApi.setReady(true);
            telemetry::logInfo("serving");
        }
        const auto counts = m_dispatcher->status();
        m_metrics->setGauge("foxtailwheel_runs", {}, static_cast<double>(counts.runs));
        m_metrics->setGauge("foxtailwheel_queued_runs", {}, static_cast<double>(counts.queued));
        m_metrics->setGauge("foxtailwheel_stray_results", {}, static_cast<double>(counts.unmatchedResults));
        m_metrics->setGauge("foxtailwheel_config_version", {}, static_cast<double>(m_configService.version().value()));
        m_pool->postAfter(tickPeriod, [this] { tick(); });
    }

    void InstanceImpl::pollLoads()
    {
        m_loadPoller.poll();
        m_pool->postAfter(loadPollPeriod, [this] { pollLoads(); });
    }

    void InstanceImpl::runClusterTasks()
    {
        m_cluster.exchangeRates();
        const auto activeMembers = m_cluster.activeMembers();
        m_orderService.tick([&](const ServiceId& pool) {
            const auto contenders = membership::owners("lease/" + pool.value(), activeMembers, leaseContendersPerPool);
            return std::find(contenders.begin(), contenders.end(), m_settings.instance) != contenders.end();
        });
        cleanClaims(activeMembers);
        const auto counts = m_cluster.transportCounts();
        m_metrics->setGauge("foxtailwheel_peer_sent_bytes", {}, static_cast<double>(counts.sentBytes));
        m_metrics->setGauge("foxtailwheel_peer_dropped_frames", {}, static_cast<double>(counts.droppedFrames));
        constexpr std::array<const char*, 5> refusalReasons { "wrong_key", "wrong_protocol", "oversized", "garbled",
            "cut" };
        for (std::size_t i = 0; i < refusalReasons.size(); ++i)
            m_metrics->setGauge("foxtailwheel_peer_refused_frames", { { "reason", refusalReasons.at(i) } },
                static_cast<double>(counts.refused.at(i)));
        m_pool->postAfter(clusterTaskPeriod, [this] { runClusterTasks(); });
    }

    void InstanceImpl::cleanClaims(const std::vector<membership::Member>& activeMembers)
    {
        const auto owner = membership::owners("claim-cleaner", activeMembers, 1);
        if (owner.empty() || owner.front() != m_settings.instance)
            return;
        std::optional<control::ClaimCleaner::Page> page;
        {
            const std::lock_guard lock(m_mutex);
            page = m_claimCleaner.nextPage(m_clock->now());
        }
        if (!page)
            return;
        const auto scanDeadline = m_clock->now() + claimCleanTimeout;
        m_table->scan(page->prefix, page->after, page->limit, scanDeadline,
            [this, scanDeadline](const store::ReadResult& result) {
                std::optional<store::Transaction> deletion;
                {
                    const std::lock_guard lock(m_mutex);
                    deletion = m_claimCleaner.onPage(result, m_clock->now(), m_clock->wallNow());
                    m_metrics->setGauge(
                        "foxtailwheel_claims_deleted", {}, static_cast<double>(m_claimCleaner.deleted()));
                }
                if (deletion)
                    m_table->transact(
                        std::move(*deletion), scanDeadline + claimCleanTimeout, [](const store::TransactResult&) {});
            });
    }

    void InstanceImpl::announce(bool leaving)
    {
        m_instanceList->announce({ m_settings.instance, m_settings.peers, m_settings.zone, m_settings.region, leaving },
            m_clock->now() + instanceListTimeout);
    }

    void InstanceImpl::refreshInstanceList()
    {
        announce(state() != LifecycleState::Starting && state() != LifecycleState::Serving);
        m_instanceList->fetch(m_clock->now() + instanceListTimeout,
            [this](const store::InstanceListResult& list) { onInstanceList(list); });
        m_pool->postAfter(instanceListPeriod, [this] { refreshInstanceList(); });
    }

    void InstanceImpl::onInstanceList(const store::InstanceListResult& list)
    {
        if (list.succeeded)
            m_cluster.onInstanceList(list);
    }

    std::vector<MemberStatus> InstanceImpl::members() const
    {
        std::vector<MemberStatus> rows;
        for (const auto& it : m_cluster.members())
            rows.push_back({ it.id, it.zone, std::string(membership::toString(it.state)), it.configVersion });
        return rows;
    }

    bool InstanceImpl::process(LifecycleEvent event)
    {
        const std::lock_guard lock(m_mutex);
        return m_lifecycle.process(event);
    }

    LifecycleState InstanceImpl::state() const
    {
        const std::lock_guard lock(m_mutex);
        return m_lifecycle.state();
    }

    void InstanceImpl::shutDown()
    {
        if (!process(LifecycleEvent::ShutdownRequested)) {
            const auto abortedRequests = m_callerApi.inProgress();
            if (process(LifecycleEvent::DrainAborted))
                finishShutdown(abortedRequests);
            return;
        }
        m_callerApi.setReady(false);
        announce(true);
        m_cluster.leave();
        telemetry::logInfo(
            "leaving", { { "balancer_delay_ms", std::to_string(toMilliseconds(m_settings.balancerDelay)) } });
        const auto deadline = m_clock->now() + m_settings.balancerDelay + m_settings.drainTimeout;
        m_pool->postAfter(m_settings.balancerDelay, [this, deadline] { drain(deadline); });
    }

    void InstanceImpl::drain(TimePoint deadline)
    {
        process(LifecycleEvent::BalancerDelayElapsed);
        m_dispatcher->stopAccepting();
        m_callerServer->stopAccepting();
        telemetry::logInfo("draining", { { "in_progress", std::to_string(m_callerApi.inProgress()) } });
        checkDrained(deadline);
    }

    void InstanceImpl::checkDrained(TimePoint deadline)
    {
        m_callerServer->closeIdleConnections();
        if (m_clock->now() >= deadline - lastResponsesTime && !std::exchange(m_endedAll, true)) {
            serving::Actions actions;
            m_dispatcher->endAll(m_clock->now(), actions);
            execute(std::move(actions));
        }
        const bool idle = m_callerApi.inProgress() == 0 && m_callerServer->openConnections() == 0
            && m_dispatcher->status().runs == 0 && m_claimStore->pendingRecords() == 0;
        if (idle && process(LifecycleEvent::DrainCompleted)) {
            finishShutdown(0);
            return;
        }
        if (m_clock->now() >= deadline && process(LifecycleEvent::DrainAborted)) {
            finishShutdown(m_callerApi.inProgress());
            return;
        }
        if (state() != LifecycleState::Stopped)
            m_pool->postAfter(drainCheckPeriod, [this, deadline] { checkDrained(deadline); });
    }

    void InstanceImpl::finishShutdown(std::size_t abortedRequests)
    {
        telemetry::logInfo("stopped", { { "cut", std::to_string(abortedRequests) } });
        {
            const std::lock_guard lock(m_mutex);
            m_abortedRequests = abortedRequests;
        }
        m_stoppedCondition.notify_all();
    }

    std::size_t InstanceImpl::waitUntilStopped()
    {
        m_pool->onTerminate([this](int /*count*/) { shutDown(); });
        std::unique_lock lock(m_mutex);
        m_stoppedCondition.wait(lock, [this] { return m_lifecycle.state() == LifecycleState::Stopped; });
        lock.unlock();
        m_cluster.close();
        m_pool->stop();
        return m_abortedRequests;
    }

} // namespace

Result<std::unique_ptr<Instance>> Instance::start(config::Settings settings)
{
    auto instance = std::make_unique<InstanceImpl>(std::move(settings));
    BOOST_OUTCOME_TRYV(instance->open());
    return std::unique_ptr<Instance>(std::move(instance));
}

} // namespace foxtailwheel::daemon
