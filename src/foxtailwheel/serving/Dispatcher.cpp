#include "foxtailwheel/serving/Dispatcher.h"

#include "PoolPolicy.h"
#include "foxtailwheel/base/Hash.h"
#include "foxtailwheel/serving/Admission.h"

#include <algorithm>
#include <atomic>
#include <map>
#include <mutex>
#include <shared_mutex>
#include <unordered_map>

namespace foxtailwheel::serving {

namespace {

    using namespace std::chrono_literals;
    using pipeline::AttemptId;
    using pipeline::CallFailure;
    using pipeline::Reason;

    /// Share of the critical path that a new run must have time for.
    constexpr double acceptableShare = 0.9;
    constexpr Duration limitRefreshPeriod = 100ms;
    /// Busy share of a pool below which an instance may use more than its own share of the slots.
    constexpr double idleToBorrow = 1.0;
    constexpr double borrowSlope = 5;

    struct PlacedCall {
        BackendServerId server;
        ServiceId service;
        TimePoint sentAt;
        Cost call;
        Cost link;
        bool idempotent = true;
    };

    struct RunEntry {
        RunEntry(pipeline::RunRequest runRequest, pipeline::RunPolicy& policy)
            : run(std::move(runRequest), policy)
        {
        }

        pipeline::Run run;
        SubmitRequest request;
        std::string bodyHash;
        std::shared_ptr<const Catalog> catalog;
        std::vector<limits::SlotHold> holds;
        std::map<AttemptId, PlacedCall> calls;
        std::map<StageIndex, std::vector<BackendServerId>> tried;
        std::map<StageIndex, StageCost> costs;
        std::uint64_t countedStrays = 0;
        TimePoint submittedAt;
        TimePoint startedAt;
        bool started = false;
        bool entered = false;
        bool replied = false;
    };

    struct Shard {
        mutable std::mutex mutex;
        std::unordered_map<RunId, std::unique_ptr<RunEntry>> runs;
    };

    class ShardedDispatcher final : public Dispatcher {
    public:
        explicit ShardedDispatcher(DispatcherOptions options)
            : m_options(std::move(options))
            , m_shards(m_options.shards)
            , m_policy([this] { return catalog(); }, m_options.hedging, m_options.extraShare)
            , m_admission(Admission::create(m_options.maxQueued))
            , m_nextRun(hashOf(m_options.pools.self.value(), m_options.pools.seed) << 20U)
        {
        }

        bool configure(ConfigVersion version, std::shared_ptr<const config::Declarations> declarations) override;
        std::shared_ptr<const Catalog> catalog() const override;
        void setInstances(std::size_t n) override;
        void setLeaving(const std::set<BackendServerId>& leaving) override;
        void stopAccepting() override { m_accepting = false; }
        RunId newRun() override { return RunId(m_nextRun++); }
        void submit(RunId id, SubmitRequest request, TimePoint now, Actions& out) override;
        void onSent(const AttemptId& id, TimePoint now) override;
        void onTokens(const AttemptId& id, std::uint64_t offset, const std::vector<std::string>& tokens, TimePoint now,
            Actions& out) override;
        void onStreamEnd(const AttemptId& id, std::uint64_t total, TimePoint now, Actions& out) override;
        void onAnswer(const AttemptId& id, pipeline::Payload body, TimePoint now, Actions& out) override;
        void onFailure(const AttemptId& id, CallFailure failure, TimePoint now, Actions& out) override;
        void onClaim(
            RunId run, StageIndex stage, const pipeline::ClaimResult& result, TimePoint now, Actions& out) override;
        void onTimer(const pipeline::TimerId& id, TimePoint now, Actions& out) override;
        void onCallerLeft(RunId run, TimePoint now, Actions& out) override;
        void onLoadReport(
            const ServiceId& service, const BackendServerId& server, const routing::LoadReport& report) override;
        void onCacheEvent(
            const ServiceId& service, const BackendServerId& server, const routing::CacheEvent& event) override;
        std::vector<limits::AccountDemand> drainDemand(TimePoint now) override;
        void setAllowance(const ClientAccountId& account, double perSecond, TimePoint now) override;
        DispatcherStatus status() const override;

    private:
        Shard& shardOf(RunId run) { return m_shards[run.value() % m_shards.size()]; }
        std::shared_ptr<routing::ServerPool> poolOf(const ServiceId& service) const;
        Reason check(const SubmitRequest& request, Duration timeLimit, const pipeline::Plan& plan, TimePoint now,
            Duration& retryAfter);
        AdmissionRequest admissionRequest(const RunEntry& entry, const config::ClientAccount& account) const;
        void admit(RunEntry& entry, const config::ClientAccount& account, TimePoint now, Actions& out);
        void begin(RunEntry& entry, TimePoint now, Actions& out);
        void refuse(RunEntry& entry, Reason reason, Duration retryAfter, Actions& out);
        void perform(RunEntry& entry, pipeline::Actions actions, TimePoint now, Actions& out);
        void carry(RunEntry& entry, pipeline::Action action, TimePoint now, pipeline::Actions& more, Actions& out);
        void send(RunEntry& entry, pipeline::StartCall call, TimePoint now, pipeline::Actions& more, Actions& out);
        void stop(RunEntry& entry, const pipeline::CancelCall& cancel, TimePoint now, Actions& out);
        void reply(RunEntry& entry, pipeline::Outcome outcome, Actions& out);
        void callEnded(RunEntry& entry, const AttemptId& id, routing::CallSign sign, bool used, TimePoint now);
        static double borrowed(double busyShare);
        void refreshLimits(TimePoint now);
        void pump(TimePoint now, Actions& out);

        /// Finds the run, lets `event` act on it under the shard's lock, and carries out what follows.
        /// A result for an unknown run is counted as stray.
        template <class Event> void handle(RunId id, bool isResult, TimePoint now, Actions& out, Event event)
        {
            {
                auto& shard = shardOf(id);
                const std::lock_guard lock(shard.mutex);
                const auto it = shard.runs.find(id);
                if (it == shard.runs.end()) {
                    m_strays += isResult ? 1 : 0;
                    return;
                }
                pipeline::Actions actions;
                event(*it->second, actions);
                perform(*it->second, std::move(actions), now, out);
                settle(shard, it);
            }
            if (m_options.admission)
                pump(now, out);
        }

        void settle(Shard& shard, std::unordered_map<RunId, std::unique_ptr<RunEntry>>::iterator it);

        DispatcherOptions m_options;
        std::vector<Shard> m_shards;
        mutable std::shared_mutex m_catalogMutex;
        std::shared_ptr<const Catalog> m_catalog;
        std::set<BackendServerId> m_leaving;
        PoolPolicy m_policy;
        std::mutex m_rateMutex;
        limits::RateLimiter m_rates;
        std::unique_ptr<Admission> m_admission;
        std::atomic<std::uint64_t> m_nextRun;
        std::atomic<std::size_t> m_instances { 1 };
        std::atomic<std::uint64_t> m_strays { 0 };
        std::atomic<std::int64_t> m_limitsAt { 0 };
        std::atomic<bool> m_releasedRoom { false };
        std::atomic<bool> m_accepting { true };
    };

    bool ShardedDispatcher::configure(ConfigVersion version, std::shared_ptr<const config::Declarations> declarations)
    {
        const std::unique_lock lock(m_catalogMutex);
        if (m_catalog && version <= m_catalog->version)
            return false;
        m_catalog = makeCatalog(version, std::move(declarations), m_catalog.get(), m_options.pools);
        for (const auto& it : m_catalog->pools)
            it.second->setLeaving(m_leaving);
        m_limitsAt = 0;
        return true;
    }

    std::shared_ptr<const Catalog> ShardedDispatcher::catalog() const
    {
        const std::shared_lock lock(m_catalogMutex);
        return m_catalog;
    }

    void ShardedDispatcher::setInstances(std::size_t n)
    {
        m_instances = std::max<std::size_t>(1, n);
        m_limitsAt = 0;
        const std::lock_guard lock(m_rateMutex);
        m_rates.setInstances(m_instances);
    }

    void ShardedDispatcher::setLeaving(const std::set<BackendServerId>& leaving)
    {
        const std::unique_lock lock(m_catalogMutex);
        if (m_leaving == leaving)
            return;
        m_leaving = leaving;
        if (!m_catalog)
            return;
        for (const auto& it : m_catalog->pools)
            it.second->setLeaving(m_leaving);
    }

    std::shared_ptr<routing::ServerPool> ShardedDispatcher::poolOf(const ServiceId& service) const
    {
        const std::shared_lock lock(m_catalogMutex);
        if (!m_catalog)
            return nullptr;
        const auto it = m_catalog->pools.find(service);
        return it == m_catalog->pools.end() ? nullptr : it->second;
    }

    Reason ShardedDispatcher::check(const SubmitRequest& request, Duration timeLimit, const pipeline::Plan& plan,
        TimePoint now, Duration& retryAfter)
    {
        if (!m_accepting)
            return Reason::ShuttingDown;
        if (plan.hasEffect() && !request.key)
            return Reason::KeyMissing;
        const auto current = catalog();
        const auto account = current->accounts.find(request.account);
        if (account != current->accounts.end() && account->second->ratePerSecond > 0) {
            const std::lock_guard lock(m_rateMutex);
            retryAfter = m_rates.take(request.account, account->second->ratePerSecond, now);
            if (retryAfter > Duration {})
                return Reason::RateLimited;
        }
        const auto typical = plan.criticalPath([](const pipeline::Stage& it) { return it.typicalTime; });
        if (m_options.admission && timeLimit < fromSeconds(toSeconds(typical) * acceptableShare))
            return Reason::DeadlineTooShort;
        return Reason::None;
    }

    AdmissionRequest ShardedDispatcher::admissionRequest(
        const RunEntry& entry, const config::ClientAccount& account) const
    {
        const auto& run = entry.run.request();
        const auto& plan = *run.plan;
        AdmissionRequest request { run.id, entry.request.account, account.weight, plan.priority, run.deadline, {}, {},
            0, {} };
        request.criticalPath
            = plan.criticalPath([this](const pipeline::Stage& it) { return m_policy.expectedTime(it); });
        const double typicalPath
            = toSeconds(plan.criticalPath([](const pipeline::Stage& it) { return it.typicalTime; }));
        double highest = -1;
        for (const auto& it : plan.stages) {
            const double seconds = toSeconds(it.typicalTime);
            request.holds.push_back({ it.service, seconds / typicalPath });
            const auto& servers = entry.catalog->declarations->findService(it.service)->servers;
            const double use = seconds
                / static_cast<double>(
                    servers.size() * entry.catalog->declarations->findService(it.service)->concurrency);
            if (use <= highest)
                continue;
            highest = use;
            request.bottleneck = it.service;
            request.cost = seconds;
        }
        return request;
    }

    void ShardedDispatcher::submit(RunId id, SubmitRequest request, TimePoint now, Actions& out)
    {
        const auto current = catalog();
        const auto& plan = current->plans.at(request.pipeline);
        const auto timeLimit
            = request.timeLimit > Duration {} ? std::min(request.timeLimit, plan->deadline) : plan->deadline;
        Duration retryAfter {};
        const auto reason = check(request, timeLimit, *plan, now, retryAfter);
        pipeline::RunRequest run { id, plan, request.body, now + timeLimit, request.stream };
        auto entry = std::make_unique<RunEntry>(std::move(run), m_policy);
        entry->request = std::move(request);
        entry->catalog = current;
        entry->submittedAt = now;
        if (reason != Reason::None) {
            refuse(*entry, reason, retryAfter, out);
            return;
        }
        if (plan->hasEffect())
            entry->bodyHash = sha256Hex(*entry->request.body);
        {
            auto& shard = shardOf(id);
            const std::lock_guard lock(shard.mutex);
            const auto it = shard.runs.emplace(id, std::move(entry)).first;
            admit(*it->second, *current->accounts.at(it->second->request.account), now, out);
            settle(shard, it);
        }
        if (m_options.admission)
            pump(now, out);
    }

    void ShardedDispatcher::admit(RunEntry& entry, const config::ClientAccount& account, TimePoint now, Actions& out)
    {
        if (!m_options.admission) {
            begin(entry, now, out);
            return;
        }
        refreshLimits(now);
        const auto request = admissionRequest(entry, account);
        entry.holds = request.holds;
        const auto verdict = m_admission->request(request, now);
        switch (verdict.verdict) {
        case Verdict::Start:
            entry.entered = true;
            begin(entry, now, out);
            return;
        case Verdict::Wait:
            out.push_back(pipeline::SetTimer { { entry.run.request().id, pipeline::TimerKind::Deadline, 0, {} },
                entry.run.request().deadline - request.criticalPath / 2 });
            return;
        case Verdict::Refuse:
            refuse(entry, Reason::Overloaded, verdict.expectedWait, out);
            return;
        }
    }

    void ShardedDispatcher::begin(RunEntry& entry, TimePoint now, Actions& out)
    {
        entry.started = true;
        entry.startedAt = now;
        pipeline::Actions actions;
        entry.run.start(now, actions);
        perform(entry, std::move(actions), now, out);
    }

    void ShardedDispatcher::refuse(RunEntry& entry, Reason reason, Duration retryAfter, Actions& out)
    {
        pipeline::Outcome outcome = pipeline::decideOutcome(nullptr, false, reason);
        outcome.retryAfter = retryAfter;
        reply(entry, std::move(outcome), out);
    }

    void ShardedDispatcher::perform(RunEntry& entry, pipeline::Actions actions, TimePoint now, Actions& out)
    {
        while (!actions.empty()) {
            pipeline::Actions more;
            for (auto& it : actions)
                carry(entry, std::move(it), now, more, out);
            actions = std::move(more);
        }
        const auto strays = entry.run.counters().strayResults;
        m_strays += strays - entry.countedStrays;
        entry.countedStrays = strays;
    }

    void ShardedDispatcher::carry(
        RunEntry& entry, pipeline::Action action, TimePoint now, pipeline::Actions& more, Actions& out)
    {
        const auto keyOf = [&entry](const ServiceId& service) {
            return ClaimKey { entry.request.account, service, entry.request.key.value_or(IdempotencyKey()) };
        };
        if (auto* start = std::get_if<pipeline::StartCall>(&action))
            send(entry, std::move(*start), now, more, out);
        else if (const auto* cancel = std::get_if<pipeline::CancelCall>(&action))
            stop(entry, *cancel, now, out);
        else if (const auto* timer = std::get_if<pipeline::SetTimer>(&action))
            out.push_back(*timer);
        else if (const auto* claim = std::get_if<pipeline::InsertClaim>(&action))
            out.push_back(
                ClaimCall { claim->run, claim->stage, keyOf(claim->service), entry.bodyHash, claim->deadline });
        else if (auto* record = std::get_if<pipeline::RecordClaim>(&action))
            out.push_back(EndClaim {
                record->run, record->stage, keyOf(record->service), record->end, std::move(record->answer) });
        else if (auto* emit = std::get_if<pipeline::EmitTokens>(&action))
            out.push_back(std::move(*emit));
        else if (auto* finish = std::get_if<pipeline::Finish>(&action))
            reply(entry, std::move(finish->outcome), out);
    }

    void ShardedDispatcher::send(
        RunEntry& entry, pipeline::StartCall call, TimePoint now, pipeline::Actions& more, Actions& out)
    {
        const auto& stage = *call.stage;
        routing::PlacementRequest wanted;
        if (stage.kind == config::ServiceKind::ModelEngine)
            wanted.prefix = entry.request.prefix;
        wanted.avoid = entry.tried[call.id.stage];
        wanted.careful = !stage.idempotent;
        const auto placement = entry.catalog->pools.at(stage.service)->place(wanted, now);
        if (!placement) {
            entry.run.onFailure(call.id, CallFailure::NotSent, now, more);
            return;
        }
        entry.tried[call.id.stage].push_back(placement->server.id);
        auto& cost = entry.costs[call.id.stage];
        const auto price = entry.catalog->declarations->findService(stage.service)->price;
        cost.service = stage.service;
        ++cost.attempts;
        cost.calls += price;
        cost.links += placement->linkCost;
        cost.wasted += price + placement->linkCost;
        cost.crossZone += placement->crossesZone ? 1 : 0;
        entry.calls.emplace(call.id,
            PlacedCall { placement->server.id, stage.service, now, price, placement->linkCost, stage.idempotent });
        if (!call.isExtra)
            m_policy.earn(m_admission->utilization(stage.service));
        std::string key;
        if (!stage.idempotent)
            key = entry.request.account.value() + "/" + stage.service.value() + "/" + entry.request.key->value();
        out.push_back(SendCall {
            std::move(call), placement->server, entry.run.request().plan->priority, wanted.prefix, std::move(key) });
    }

    void ShardedDispatcher::stop(RunEntry& entry, const pipeline::CancelCall& cancel, TimePoint now, Actions& out)
    {
        const auto it = entry.calls.find(cancel.id);
        if (it == entry.calls.end())
            return;
        out.push_back(StopCall { cancel.id, it->second.server });
        entry.catalog->pools.at(it->second.service)->cancelled(it->second.server, now - it->second.sentAt, now);
        entry.calls.erase(it);
    }

    void ShardedDispatcher::reply(RunEntry& entry, pipeline::Outcome outcome, Actions& out)
    {
        const bool answered = outcome.kind == pipeline::OutcomeKind::Answered;
        Reply reply { entry.run.request().id, entry.request.account, std::move(outcome), {}, entry.run.counters(), {} };
        if (entry.started)
            reply.waited = entry.startedAt - entry.submittedAt;
        for (auto& it : entry.costs) {
            auto cost = it.second;
            if (!answered)
                cost.wasted = cost.calls + cost.links;
            reply.costs.push_back(std::move(cost));
        }
        entry.replied = true;
        out.push_back(std::move(reply));
    }

    void ShardedDispatcher::callEnded(
        RunEntry& entry, const AttemptId& id, routing::CallSign sign, bool used, TimePoint now)
    {
        const auto it = entry.calls.find(id);
        if (it == entry.calls.end())
            return;
        const auto& call = it->second;
        entry.catalog->pools.at(call.service)->ended(call.server, { sign, now - call.sentAt, {} }, now);
        if (used) {
            auto& wasted = entry.costs[id.stage].wasted;
            wasted.microCredits -= call.call.microCredits + call.link.microCredits;
        }
        entry.calls.erase(it);
    }

    void ShardedDispatcher::settle(Shard& shard, std::unordered_map<RunId, std::unique_ptr<RunEntry>>::iterator it)
    {
        auto& entry = *it->second;
        if (entry.replied && entry.entered) {
            entry.entered = false;
            m_admission->leave(entry.holds);
            m_releasedRoom = true;
        }
        if (entry.replied && !entry.started)
            m_admission->forget(it->first);
        if (entry.replied && (!entry.started || entry.run.closed()))
            shard.runs.erase(it);
    }

    /// Slots that may be filled beyond the own share while the pool as a whole has idle ones, as a multiple of the
    /// share.
    double ShardedDispatcher::borrowed(double busyShare)
    {
        return std::clamp((idleToBorrow - busyShare) * borrowSlope, 0.0, 1.0);
    }

    void ShardedDispatcher::refreshLimits(TimePoint now)
    {
        auto at = m_limitsAt.load();
        const auto ticks = now.time_since_epoch().count();
        if (at != 0 && ticks - at < limitRefreshPeriod.count())
            return;
        if (!m_limitsAt.compare_exchange_strong(at, std::max<std::int64_t>(1, ticks)))
            return;
        for (const auto& it : catalog()->pools) {
            const double share = it.second->slots(now) / static_cast<double>(m_instances);
            m_admission->setLimit(
                it.first, std::max(1.0, share * (m_options.overcommit + borrowed(it.second->busyShare()))));
        }
    }

    void ShardedDispatcher::pump(TimePoint now, Actions& out)
    {
        while (m_releasedRoom.exchange(false)) {
            const auto admitted = m_admission->pump(now);
            for (const auto& started : admitted.started) {
                auto& shard = shardOf(started.run);
                const std::lock_guard lock(shard.mutex);
                const auto it = shard.runs.find(started.run);
                if (it == shard.runs.end()) {
                    m_admission->leave(started.holds);
                    m_releasedRoom = true;
                    continue;
                }
                it->second->entered = true;
                begin(*it->second, now, out);
                settle(shard, it);
            }
            for (const auto id : admitted.refused) {
                auto& shard = shardOf(id);
                const std::lock_guard lock(shard.mutex);
                const auto it = shard.runs.find(id);
                if (it == shard.runs.end())
                    continue;
                refuse(*it->second, Reason::Overloaded, it->second->run.request().plan->deadline / 2, out);
                settle(shard, it);
            }
        }
    }

    void ShardedDispatcher::onSent(const AttemptId& id, TimePoint /*now*/)
    {
        auto& shard = shardOf(id.run);
        const std::lock_guard lock(shard.mutex);
        const auto it = shard.runs.find(id.run);
        if (it != shard.runs.end())
            it->second->run.onSent(id);
    }

    void ShardedDispatcher::onTokens(
        const AttemptId& id, std::uint64_t offset, const std::vector<std::string>& tokens, TimePoint now, Actions& out)
    {
        handle(id.run, true, now, out,
            [&](RunEntry& entry, pipeline::Actions& actions) { entry.run.onTokens(id, offset, tokens, now, actions); });
    }

    void ShardedDispatcher::onStreamEnd(const AttemptId& id, std::uint64_t total, TimePoint now, Actions& out)
    {
        handle(id.run, true, now, out, [&](RunEntry& entry, pipeline::Actions& actions) {
            callEnded(entry, id, routing::CallSign::Good, true, now);
            entry.run.onStreamEnd(id, total, now, actions);
        });
    }

    void ShardedDispatcher::onAnswer(const AttemptId& id, pipeline::Payload body, TimePoint now, Actions& out)
    {
        handle(id.run, true, now, out, [&](RunEntry& entry, pipeline::Actions& actions) {
            callEnded(entry, id, routing::CallSign::Good, true, now);
            entry.run.onAnswer(id, std::move(body), now, actions);
        });
    }

    void ShardedDispatcher::onFailure(const AttemptId& id, CallFailure failure, TimePoint now, Actions& out)
    {
        routing::CallSign sign = routing::CallSign::Broken;
        if (failure == CallFailure::NotSent)
            sign = routing::CallSign::Unreachable;
        else if (failure == CallFailure::Refused)
            sign = routing::CallSign::Busy;
        else if (failure == CallFailure::Rejected)
            sign = routing::CallSign::Good;
        handle(id.run, true, now, out, [&](RunEntry& entry, pipeline::Actions& actions) {
            callEnded(entry, id, sign, false, now);
            entry.run.onFailure(id, failure, now, actions);
        });
    }

    void ShardedDispatcher::onClaim(
        RunId run, StageIndex stage, const pipeline::ClaimResult& result, TimePoint now, Actions& out)
    {
        handle(run, true, now, out,
            [&](RunEntry& entry, pipeline::Actions& actions) { entry.run.onClaim(stage, result, now, actions); });
    }

    void ShardedDispatcher::onTimer(const pipeline::TimerId& id, TimePoint now, Actions& out)
    {
        handle(id.run, false, now, out, [&](RunEntry& entry, pipeline::Actions& actions) {
            if (entry.started) {
                if (id.kind != pipeline::TimerKind::Deadline || now >= entry.run.request().deadline)
                    entry.run.onTimer(id, now, actions);
            } else if (!entry.replied) {
                refuse(entry, Reason::Overloaded, entry.run.request().plan->deadline / 2, out);
            }
        });
    }

    void ShardedDispatcher::onCallerLeft(RunId run, TimePoint now, Actions& out)
    {
        handle(run, false, now, out, [&](RunEntry& entry, pipeline::Actions& actions) {
            if (entry.started)
                entry.run.onCallerLeft(now, actions);
            else if (!entry.replied)
                refuse(entry, Reason::CallerLeft, {}, out);
        });
    }

    void ShardedDispatcher::onLoadReport(
        const ServiceId& service, const BackendServerId& server, const routing::LoadReport& report)
    {
        if (const auto pool = poolOf(service))
            pool->reported(server, report);
    }

    void ShardedDispatcher::onCacheEvent(
        const ServiceId& service, const BackendServerId& server, const routing::CacheEvent& event)
    {
        if (const auto pool = poolOf(service))
            pool->cacheEvent(server, event);
    }

    std::vector<limits::AccountDemand> ShardedDispatcher::drainDemand(TimePoint now)
    {
        const std::lock_guard lock(m_rateMutex);
        return m_rates.drainDemand(now);
    }

    void ShardedDispatcher::setAllowance(const ClientAccountId& account, double perSecond, TimePoint now)
    {
        const std::lock_guard lock(m_rateMutex);
        m_rates.setAllowance(account, perSecond, now);
    }

    DispatcherStatus ShardedDispatcher::status() const
    {
        DispatcherStatus status;
        for (const auto& it : m_shards) {
            const std::lock_guard lock(it.mutex);
            status.runs += it.runs.size();
        }
        status.queued = m_admission->queued();
        status.strayResults = m_strays;
        return status;
    }

} // namespace

std::unique_ptr<Dispatcher> makeDispatcher(DispatcherOptions options)
{
    return std::make_unique<ShardedDispatcher>(std::move(options));
}

} // namespace foxtailwheel::serving
