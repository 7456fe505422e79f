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
#include "foxtailwheel/control/ClaimKeeper.h"
#include "foxtailwheel/daemon/Lifecycle.h"
#include "foxtailwheel/store/Clients.h"
#include "foxtailwheel/telemetry/Log.h"

#include <algorithm>
#include <array>
#include <condition_variable>

namespace foxtailwheel::daemon {

namespace {

    using namespace std::chrono_literals;

    constexpr Duration tickPeriod = 100ms;
    constexpr Duration loadPollPeriod = 1s;
    constexpr Duration listPeriod = 2s;
    constexpr Duration sharePeriod = 1s;
    constexpr Duration cleanTimeout = 2s;
    constexpr std::size_t leaseContenders = 2;
    constexpr Duration listTimeout = 1s;
    constexpr Duration drainCheckPeriod = 20ms;

    serving::DispatcherOptions dispatcherOptions(const config::Settings& settings, std::uint64_t seed)
    {
        serving::DispatcherOptions options;
        options.pools.self = settings.instance;
        options.pools.zone = settings.zone;
        options.pools.seed = seed;
        options.shards = settings.shards;
        return options;
    }

    std::string_view toString(LifeState state)
    {
        constexpr std::array<std::string_view, 5> names { "starting", "serving", "announcing", "draining", "stopped" };
        return names.at(static_cast<std::size_t>(state));
    }

    class ComposedInstance final : public Instance {
    public:
        explicit ComposedInstance(config::Settings settings);
        ~ComposedInstance() override { m_pool->stop(); }
        ComposedInstance(const ComposedInstance&) = delete;
        ComposedInstance& operator=(const ComposedInstance&) = delete;

        Result<void> open();
        void shutDown() override;
        std::size_t waitUntilStopped() override;
        std::uint16_t callerPort() const override { return m_callerServer->port(); }
        std::uint16_t operatorPort() const override { return m_operatorServer->port(); }

    private:
        control::Defer deferrer();
        Perform performer();
        FetchFromPeer peerFetcher();
        OperatorHooks operatorHooks();
        void perform(serving::Actions actions);
        void perform(serving::Action& action);
        void tick();
        void pollLoads();
        void shareWork();
        void cleanClaims(const std::vector<membership::Member>& working);
        void readList();
        void announce(bool leaving);
        void onList(const store::ListResult& list);
        void drain();
        void checkDrained();
        bool process(LifeEvent event);
        LifeState state() const;
        void stopped(std::size_t cut);
        std::vector<MemberStatus> members() const;

        config::Settings m_settings;
        std::uint64_t m_seed = systemSeed();
        std::unique_ptr<Clock> m_clock = systemClock();
        std::unique_ptr<http::IoPool> m_pool;
        std::unique_ptr<http::Client> m_client;
        std::unique_ptr<telemetry::Metrics> m_metrics = telemetry::Metrics::create();
        std::unique_ptr<store::Table> m_table;
        std::unique_ptr<store::InstanceList> m_list;
        std::unique_ptr<serving::Dispatcher> m_dispatcher;
        std::unique_ptr<control::ClaimKeeper> m_claims;
        Cluster m_cluster;
        CallDriver m_calls;
        CallerApi m_callers;
        ConfigService m_configs;
        LoadPoller m_loads;
        OrderService m_orders;
        OperatorApi m_operators;
        std::unique_ptr<http::Server> m_callerServer;
        std::unique_ptr<http::Server> m_operatorServer;
        mutable std::mutex m_mutex;
        std::condition_variable m_ended;
        Lifecycle m_life;
        control::ClaimCleaner m_cleaner;
        TimePoint m_drainUntil {};
        std::size_t m_cut = 0;
    };

    ComposedInstance::ComposedInstance(config::Settings settings)
        : m_settings(std::move(settings))
        , m_pool(http::IoPool::create(m_settings.threads))
        , m_client(http::Client::create(*m_pool, *m_clock))
        , m_table(store::tableClient(*m_client, *m_clock, m_settings.table, m_seed))
        , m_list(store::instanceListClient(*m_client, m_settings.instanceList))
        , m_dispatcher(serving::makeDispatcher(dispatcherOptions(m_settings, m_seed)))
        , m_claims(control::ClaimKeeper::create(*m_table, *m_clock, m_settings.instance, m_seed + 1, deferrer()))
        , m_cluster(m_settings, *m_clock, *m_dispatcher, m_seed + 3)
        , m_calls(*m_client, *m_clock, *m_dispatcher, performer(),
              [this](const BackendServerId& server) { m_cluster.serverLeaving(server); })
        , m_callers(*m_clock, *m_dispatcher, *m_metrics, performer())
        , m_configs(*m_table, *m_clock, *m_dispatcher, peerFetcher(), m_seed + 2)
        , m_loads(*m_client, *m_clock, *m_dispatcher)
        , m_orders(*m_table, *m_client, *m_clock, *m_dispatcher, *m_metrics, m_settings.instance)
        , m_operators(m_settings, *m_clock, *m_dispatcher, m_configs, *m_table, operatorHooks())
    {
    }

    control::Defer ComposedInstance::deferrer()
    {
        return [this](Duration delay, std::function<void()> work) { m_pool->after(delay, std::move(work)); };
    }

    Perform ComposedInstance::performer()
    {
        return [this](serving::Actions actions) { perform(std::move(actions)); };
    }

    FetchFromPeer ComposedInstance::peerFetcher()
    {
        return [this](const InstanceId& peer, ConfigVersion version, ConfigVersion have,
                   std::function<void(peer::ConfigReply)> done) {
            m_cluster.fetchText(peer, version, have, std::move(done));
        };
    }

    OperatorHooks ComposedInstance::operatorHooks()
    {
        return { [this] { return std::string(toString(state())); }, [this] { return members(); },
            [this] { shutDown(); } };
    }

    Result<void> ComposedInstance::open()
    {
        http::ServerOptions callers;
        callers.listen = m_settings.callers;
        callers.maxBodyBytes = m_settings.maxBodyBytes;
        callers.maxConnections = m_settings.maxConnections;
        BOOST_OUTCOME_TRY(m_callerServer,
            http::Server::listen(*m_pool, callers,
                [this](const http::Request& request, const std::shared_ptr<http::Responder>& responder) {
                    m_callers.handle(request, responder);
                }));
        http::ServerOptions operators;
        operators.listen = m_settings.operators;
        operators.maxBodyBytes = 64U << 20U;
        BOOST_OUTCOME_TRY(m_operatorServer,
            http::Server::listen(*m_pool, operators,
                [this](const http::Request& request, const std::shared_ptr<http::Responder>& responder) {
                    m_operators.handle(request, responder);
                }));
        BOOST_OUTCOME_TRYV(m_cluster.open(*m_pool, m_configs));
        tick();
        pollLoads();
        shareWork();
        readList();
        telemetry::logInfo("started",
            { { "instance", m_settings.instance.value() }, { "zone", m_settings.zone.value() },
                { "callers", m_settings.callers.toString() } });
        return ok();
    }

    void ComposedInstance::perform(serving::Actions actions)
    {
        for (auto& it : actions)
            perform(it);
    }

    void ComposedInstance::perform(serving::Action& action)
    {
        if (auto* send = std::get_if<serving::SendCall>(&action)) {
            m_calls.send(std::move(*send));
        } else if (const auto* stop = std::get_if<serving::StopCall>(&action)) {
            m_calls.stop(*stop);
        } else if (const auto* timer = std::get_if<pipeline::SetTimer>(&action)) {
            m_pool->after(timer->at - m_clock->now(), [this, id = timer->id] {
                serving::Actions due;
                m_dispatcher->onTimer(id, m_clock->now(), due);
                perform(std::move(due));
            });
        } else if (const auto* claim = std::get_if<serving::ClaimCall>(&action)) {
            m_claims->claim(
                *claim, [this, run = claim->run, stage = claim->stage](const pipeline::ClaimResult& result) {
                    serving::Actions due;
                    m_dispatcher->onClaim(run, stage, result, m_clock->now(), due);
                    perform(std::move(due));
                });
        } else if (const auto* end = std::get_if<serving::EndClaim>(&action)) {
            m_claims->end(*end);
        } else if (const auto* tokens = std::get_if<pipeline::EmitTokens>(&action)) {
            m_callers.emit(*tokens);
        } else if (const auto* reply = std::get_if<serving::Reply>(&action)) {
            m_callers.reply(*reply);
        }
    }

    void ComposedInstance::tick()
    {
        m_configs.tick();
        m_cluster.tick();
        if (m_configs.caughtUp() && process(LifeEvent::CaughtUp)) {
            m_callers.setReady(true);
            telemetry::logInfo("serving");
        }
        const auto counts = m_dispatcher->status();
        m_metrics->gauge("foxtailwheel_runs", {}, static_cast<double>(counts.runs));
        m_metrics->gauge("foxtailwheel_queued_runs", {}, static_cast<double>(counts.queued));
        m_metrics->gauge("foxtailwheel_stray_results", {}, static_cast<double>(counts.strayResults));
        m_metrics->gauge("foxtailwheel_config_version", {}, static_cast<double>(m_configs.version().value()));
        m_pool->after(tickPeriod, [this] { tick(); });
    }

    void ComposedInstance::pollLoads()
    {
        m_loads.poll();
        m_pool->after(loadPollPeriod, [this] { pollLoads(); });
    }

    void ComposedInstance::shareWork()
    {
        m_cluster.shareRates();
        const auto working = m_cluster.working();
        m_orders.tick([&](const ServiceId& pool) {
            const auto contenders = membership::owners("lease/" + pool.value(), working, leaseContenders);
            return std::find(contenders.begin(), contenders.end(), m_settings.instance) != contenders.end();
        });
        cleanClaims(working);
        const auto counts = m_cluster.counts();
        m_metrics->gauge("foxtailwheel_peer_sent_bytes", {}, static_cast<double>(counts.sentBytes));
        m_metrics->gauge("foxtailwheel_peer_dropped_frames", {}, static_cast<double>(counts.droppedFrames));
        constexpr std::array<const char*, 5> refusals { "wrong_key", "wrong_protocol", "oversized", "garbled", "cut" };
        for (std::size_t i = 0; i < refusals.size(); ++i)
            m_metrics->gauge("foxtailwheel_peer_refused_frames", { { "reason", refusals.at(i) } },
                static_cast<double>(counts.refused.at(i)));
        m_pool->after(sharePeriod, [this] { shareWork(); });
    }

    void ComposedInstance::cleanClaims(const std::vector<membership::Member>& working)
    {
        const auto owner = membership::owners("claim-cleaner", working, 1);
        if (owner.empty() || owner.front() != m_settings.instance)
            return;
        std::optional<control::ClaimCleaner::Page> page;
        {
            const std::lock_guard lock(m_mutex);
            page = m_cleaner.duePage(m_clock->now());
        }
        if (!page)
            return;
        const auto until = m_clock->now() + cleanTimeout;
        m_table->scan(page->prefix, page->after, page->limit, until, [this, until](const store::ReadResult& result) {
            std::optional<store::Transaction> deletion;
            {
                const std::lock_guard lock(m_mutex);
                deletion = m_cleaner.onPage(result, m_clock->now(), m_clock->wallNow());
                m_metrics->gauge("foxtailwheel_claims_deleted", {}, static_cast<double>(m_cleaner.deleted()));
            }
            if (deletion)
                m_table->transact(std::move(*deletion), until + cleanTimeout, [](const store::TransactResult&) {});
        });
    }

    void ComposedInstance::announce(bool leaving)
    {
        m_list->announce({ m_settings.instance, m_settings.peers, m_settings.zone, m_settings.region, leaving },
            m_clock->now() + listTimeout);
    }

    void ComposedInstance::readList()
    {
        announce(state() != LifeState::Starting && state() != LifeState::Serving);
        m_list->fetch(m_clock->now() + listTimeout, [this](const store::ListResult& list) { onList(list); });
        m_pool->after(listPeriod, [this] { readList(); });
    }

    void ComposedInstance::onList(const store::ListResult& list)
    {
        if (list.answered)
            m_cluster.onList(list);
    }

    std::vector<MemberStatus> ComposedInstance::members() const
    {
        std::vector<MemberStatus> rows;
        for (const auto& it : m_cluster.members())
            rows.push_back({ it.id, it.zone, std::string(membership::toString(it.state)), it.config });
        return rows;
    }

    bool ComposedInstance::process(LifeEvent event)
    {
        const std::lock_guard lock(m_mutex);
        return m_life.process(event);
    }

    LifeState ComposedInstance::state() const
    {
        const std::lock_guard lock(m_mutex);
        return m_life.state();
    }

    void ComposedInstance::shutDown()
    {
        if (!process(LifeEvent::ShutdownAsked)) {
            const auto cut = m_callers.inProgress();
            if (process(LifeEvent::DrainCut))
                stopped(cut);
            return;
        }
        m_callers.setReady(false);
        announce(true);
        m_cluster.leave();
        telemetry::logInfo(
            "leaving", { { "balancer_delay_ms", std::to_string(toMilliseconds(m_settings.balancerDelay)) } });
        m_drainUntil = m_clock->now() + m_settings.balancerDelay + m_settings.drainLimit;
        m_pool->after(m_settings.balancerDelay, [this] { drain(); });
    }

    void ComposedInstance::drain()
    {
        process(LifeEvent::BalancerInformed);
        m_dispatcher->stopAccepting();
        m_callerServer->stopAccepting();
        telemetry::logInfo("draining", { { "in_progress", std::to_string(m_callers.inProgress()) } });
        checkDrained();
    }

    void ComposedInstance::checkDrained()
    {
        const bool idle = m_callers.inProgress() == 0 && m_callerServer->inProgress() == 0
            && m_dispatcher->status().runs == 0 && m_claims->pendingRecords() == 0;
        if (idle && process(LifeEvent::LastRunEnded)) {
            stopped(0);
            return;
        }
        if (m_clock->now() >= m_drainUntil && process(LifeEvent::DrainCut)) {
            stopped(m_callers.inProgress());
            return;
        }
        if (state() != LifeState::Stopped)
            m_pool->after(drainCheckPeriod, [this] { checkDrained(); });
    }

    void ComposedInstance::stopped(std::size_t cut)
    {
        telemetry::logInfo("stopped", { { "cut", std::to_string(cut) } });
        {
            const std::lock_guard lock(m_mutex);
            m_cut = cut;
        }
        m_ended.notify_all();
    }

    std::size_t ComposedInstance::waitUntilStopped()
    {
        m_pool->onTerminate([this](int /*count*/) { shutDown(); });
        std::unique_lock lock(m_mutex);
        m_ended.wait(lock, [this] { return m_life.state() == LifeState::Stopped; });
        lock.unlock();
        m_cluster.close();
        m_pool->stop();
        return m_cut;
    }

} // namespace

Result<std::unique_ptr<Instance>> Instance::start(config::Settings settings)
{
    auto instance = std::make_unique<ComposedInstance>(std::move(settings));
    BOOST_OUTCOME_TRYV(instance->open());
    return std::unique_ptr<Instance>(std::move(instance));
}

} // namespace foxtailwheel::daemon
