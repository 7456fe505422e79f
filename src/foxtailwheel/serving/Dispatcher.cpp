#include "foxtailwheel/serving/Dispatcher.h"

#include "PoolRunPolicy.h"
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

    /// Minimum timeout of a new run, as a fraction of the typical critical path of its plan.
    constexpr double minTimeoutFraction = 0.9;
    constexpr Duration limitRefreshPeriod = 100ms;
    /// Utilization of a pool below which an instance may use more slots than its own share.
    constexpr double borrowBelowUtilization = 1.0;
    /// Multiple of the own share that may be borrowed, per unit of utilization below the threshold.
    constexpr double borrowSlope = 5;

    struct PlacedCall {
        BackendServerId server;
        ServiceId service;
        TimePoint sentAt;
        Cost callCost;
        Cost linkCost;
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
        std::shared_ptr<const ConfigSnapshot> snapshot;
        std::vector<limits::SlotReservation> reservations;
        std::map<AttemptId, PlacedCall> calls;
        std::map<StageIndex, std::vector<BackendServerId>> triedServers;
        std::map<StageIndex, StageCost> costs;
        std::uint64_t countedUnmatched = 0;
        TimePoint submittedAt;
        TimePoint startedAt;
        bool started = false;
        bool admitted = false;
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
            , m_policy([this] { return snapshot(); }, m_options.hedging, m_options.retryBudgetFraction)
            , m_admission(Admission::create(m_options.maxQueued))
            , m_nextRunId(hashOf(m_options.pools.self.value(), m_options.pools.seed) << 20U)
        {
        }

        bool configure(ConfigVersion version, std::shared_ptr<const config::Declarations> declarations) override;
        std::shared_ptr<const ConfigSnapshot> snapshot() const override;
        void setInstanceCount(std::size_t n) override;
        void setLeavingServers(const std::set<BackendServerId>& leaving) override;
        void stopAccepting() override { m_accepting = false; }
        void endAll(TimePoint now, Actions& out) override;
        RunId allocateRunId() override { return RunId(m_nextRunId++); }
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
        void onCallerDisconnected(RunId run, TimePoint now, Actions& out) override;
        void onLoadReport(
            const ServiceId& service, const BackendServerId& server, const routing::LoadReport& report) override;
        void onServerChecked(const ServiceId& service, const config::BackendServer& server, TimePoint now) override;
        void onCacheEvent(
            const ServiceId& service, const BackendServerId& server, const routing::CacheEvent& event) override;
        Duration onServerPaused(
            const ServiceId& service, const BackendServerId& server, Duration time, TimePoint now) override;
        std::vector<limits::AccountDemand> drainDemand(TimePoint now) override;
        void setRateShare(const ClientAccountId& account, double perSecond, TimePoint now) override;
        DispatcherStatus status() const override;

    private:
        Shard& shardOf(RunId run) { return m_shards[run.value() % m_shards.size()]; }
        std::shared_ptr<routing::ServerPool> poolOf(const ServiceId& service) const;
        Reason validate(const SubmitRequest& request, Duration timeout, const pipeline::Plan& plan, TimePoint now,
            Duration& retryAfter);
        Duration pauseOf(const pipeline::Plan& plan, Duration typical, TimePoint now) const;
        AdmissionRequest admissionRequest(const RunEntry& entry, const config::ClientAccount& account) const;
        void admit(RunEntry& entry, const config::ClientAccount& account, TimePoint now, Actions& out);
        void startRun(RunEntry& entry, TimePoint now, Actions& out);
        void rejectRun(RunEntry& entry, Reason reason, Duration retryAfter, Actions& out);
        void executeActions(RunEntry& entry, pipeline::Actions actions, TimePoint now, Actions& out);
        void executeAction(
            RunEntry& entry, pipeline::Action action, TimePoint now, pipeline::Actions& followUps, Actions& out);
        void sendCall(
            RunEntry& entry, pipeline::StartCall call, TimePoint now, pipeline::Actions& followUps, Actions& out);
        void cancelCall(RunEntry& entry, const pipeline::CancelCall& cancel, TimePoint now, Actions& out);
        void sendReply(RunEntry& entry, pipeline::Outcome outcome, Actions& out);
        void onCallEnded(
            RunEntry& entry, const AttemptId& id, routing::CallOutcome callOutcome, bool resultUsed, TimePoint now);
        static double borrowedShare(double utilization);
        void refreshLimits(TimePoint now);
        void startQueuedRuns(TimePoint now, Actions& out);

        /// Applies `event` to the run under the lock of its shard and executes the resulting actions.
        /// A result for an unknown run is counted as unmatched.
        template <class Event> void handleEvent(RunId id, bool isResult, TimePoint now, Actions& out, Event event)
        {
            {
                auto& shard = shardOf(id);
                const std::lock_guard lock(shard.mutex);
                const auto it = shard.runs.find(id);
                if (it == shard.runs.end()) {
                    m_unmatchedResults += isResult ? 1 : 0;
                    return;
                }
                pipeline::Actions actions;
                event(*it->second, actions);
                executeActions(*it->second, std::move(actions), now, out);
                finalizeIfReplied(shard, it);
            }
            if (m_options.admission)
                startQueuedRuns(now, out);
        }

        void finalizeIfReplied(Shard& shard, std::unordered_map<RunId, std::unique_ptr<RunEntry>>::iterator it);

        DispatcherOptions m_options;
        std::vector<Shard> m_shards;
        mutable std::shared_mutex m_snapshotMutex;
        std::shared_ptr<const ConfigSnapshot> m_snapshot;
        std::set<BackendServerId> m_leaving;
        PoolRunPolicy m_policy;
        std::mutex m_rateMutex;
        limits::RateLimiter m_rateLimiter;
        std::unique_ptr<Admission> m_admission;
        std::atomic<std::uint64_t> m_nextRunId;
        std::atomic<std::size_t> m_instanceCount { 1 };
        std::atomic<std::uint64_t> m_unmatchedResults { 0 };
        std::atomic<std::int64_t> m_limitsRefreshedAt { 0 };
        std::atomic<bool> m_slotsReleased { false };
        std::atomic<bool> m_accepting { true };
    };

    bool ShardedDispatcher::configure(ConfigVersion version, std::shared_ptr<const config::Declarations> declarations)
    {
        const std::unique_lock lock(m_snapshotMutex);
        if (m_snapshot && version <= m_snapshot->version)
            return false;
        m_snapshot = makeConfigSnapshot(version, std::move(declarations), m_snapshot.get(), m_options.pools);
        for (const auto& it : m_snapshot->pools)
            it.second->setLeaving(m_leaving);
        m_limitsRefreshedAt = 0;
        return true;
    }

    std::shared_ptr<const ConfigSnapshot> ShardedDispatcher::snapshot() const
    {
        const std::shared_lock lock(m_snapshotMutex);
        return m_snapshot;
    }

    void ShardedDispatcher::setInstanceCount(std::size_t n)
    {
        m_instanceCount = std::max<std::size_t>(1, n);
        m_limitsRefreshedAt = 0;
        const std::lock_guard lock(m_rateMutex);
        m_rateLimiter.setInstanceCount(m_instanceCount);
    }

    void ShardedDispatcher::setLeavingServers(const std::set<BackendServerId>& leaving)
    {
        const std::unique_lock lock(m_snapshotMutex);
        if (m_leaving == leaving)
            return;
        m_leaving = leaving;
        if (!m_snapshot)
            return;
        for (const auto& it : m_snapshot->pools)
            it.second->setLeaving(m_leaving);
    }

    std::shared_ptr<routing::ServerPool> ShardedDispatcher::poolOf(const ServiceId& service) const
    {
        const std::shared_lock lock(m_snapshotMutex);
        if (!m_snapshot)
            return nullptr;
        const auto it = m_snapshot->pools.find(service);
        return it == m_snapshot->pools.end() ? nullptr : it->second;
    }

    Reason ShardedDispatcher::validate(
        const SubmitRequest& request, Duration timeout, const pipeline::Plan& plan, TimePoint now, Duration& retryAfter)
    {
        if (!m_accepting)
            return Reason::ShuttingDown;
        if (plan.hasSideEffects() && !request.key)
            return Reason::KeyMissing;
        const auto current = snapshot();
        const auto account = current->accounts.find(request.account);
        if (account != current->accounts.end() && account->second->ratePerSecond > 0) {
            const std::lock_guard lock(m_rateMutex);
            retryAfter = m_rateLimiter.tryAcquire(request.account, account->second->ratePerSecond, now);
            if (retryAfter > Duration {})
                return Reason::RateLimited;
        }
        const auto typical = plan.criticalPath([](const pipeline::Stage& it) { return it.typicalTime; });
        if (m_options.admission && timeout < fromSeconds(toSeconds(typical) * minTimeoutFraction))
            return Reason::DeadlineTooShort;
        retryAfter = pauseOf(plan, typical, now);
        if (retryAfter > Duration {})
            return Reason::NoServer;
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
        double highestLoad = -1;
        for (const auto& it : plan.stages) {
            const double seconds = toSeconds(it.typicalTime);
            request.reservations.push_back({ it.service, seconds / typicalPath });
            const auto& servers = entry.snapshot->declarations->findService(it.service)->servers;
            const double load = seconds
                / static_cast<double>(
                    servers.size() * entry.snapshot->declarations->findService(it.service)->concurrency);
            if (load <= highestLoad)
                continue;
            highestLoad = load;
            request.bottleneck = it.service;
            request.cost = seconds;
        }
        return request;
    }

    void ShardedDispatcher::submit(RunId id, SubmitRequest request, TimePoint now, Actions& out)
    {
        const auto current = snapshot();
        const auto& plan = current->plans.at(request.pipeline);
        const auto timeout = request.timeout > Duration {} ? std::min(request.timeout, plan->deadline) : plan->deadline;
        Duration retryAfter {};
        const auto reason = validate(request, timeout, *plan, now, retryAfter);
        pipeline::RunRequest run { id, plan, request.body, now + timeout, request.stream };
        auto entry = std::make_unique<RunEntry>(std::move(run), m_policy);
        entry->request = std::move(request);
        entry->snapshot = current;
        entry->submittedAt = now;
        if (reason != Reason::None) {
            rejectRun(*entry, reason, retryAfter, out);
            return;
        }
        if (plan->hasSideEffects())
            entry->bodyHash = sha256Hex(*entry->request.body);
        {
            auto& shard = shardOf(id);
            const std::lock_guard lock(shard.mutex);
            const auto it = shard.runs.emplace(id, std::move(entry)).first;
            admit(*it->second, *current->accounts.at(it->second->request.account), now, out);
            finalizeIfReplied(shard, it);
        }
        if (m_options.admission)
            startQueuedRuns(now, out);
    }

    void ShardedDispatcher::admit(RunEntry& entry, const config::ClientAccount& account, TimePoint now, Actions& out)
    {
        if (!m_options.admission) {
            startRun(entry, now, out);
            return;
        }
        refreshLimits(now);
        const auto request = admissionRequest(entry, account);
        entry.reservations = request.reservations;
        const auto result = m_admission->request(request, now);
        switch (result.decision) {
        case AdmissionDecision::Admit:
            entry.admitted = true;
            startRun(entry, now, out);
            return;
        case AdmissionDecision::Queue:
            out.push_back(pipeline::SetTimer { { entry.run.request().id, pipeline::TimerKind::Deadline, 0, {} },
                entry.run.request().deadline - request.criticalPath / 2 });
            return;
        case AdmissionDecision::Reject:
            rejectRun(entry, Reason::Overloaded, result.expectedWait, out);
            return;
        }
    }

    void ShardedDispatcher::startRun(RunEntry& entry, TimePoint now, Actions& out)
    {
        entry.started = true;
        entry.startedAt = now;
        pipeline::Actions actions;
        entry.run.start(now, actions);
        executeActions(entry, std::move(actions), now, out);
    }

    void ShardedDispatcher::rejectRun(RunEntry& entry, Reason reason, Duration retryAfter, Actions& out)
    {
        pipeline::Outcome outcome = pipeline::decideOutcome(nullptr, false, reason);
        outcome.retryAfter = retryAfter;
        sendReply(entry, std::move(outcome), out);
    }

    void ShardedDispatcher::executeActions(RunEntry& entry, pipeline::Actions actions, TimePoint now, Actions& out)
    {
        while (!actions.empty()) {
            pipeline::Actions followUps;
            for (auto& it : actions)
                executeAction(entry, std::move(it), now, followUps, out);
            actions = std::move(followUps);
        }
        const auto unmatched = entry.run.counters().unmatchedResults;
        m_unmatchedResults += unmatched - entry.countedUnmatched;
        entry.countedUnmatched = unmatched;
    }

    void ShardedDispatcher::executeAction(
        RunEntry& entry, pipeline::Action action, TimePoint now, pipeline::Actions& followUps, Actions& out)
    {
        const auto claimKeyFor = [&entry](const ServiceId& service) {
            return ClaimKey { entry.request.account, service, entry.request.key.value_or(IdempotencyKey()) };
        };
        if (auto* start = std::get_if<pipeline::StartCall>(&action))
            sendCall(entry, std::move(*start), now, followUps, out);
        else if (const auto* cancel = std::get_if<pipeline::CancelCall>(&action))
            cancelCall(entry, *cancel, now, out);
        else if (const auto* timer = std::get_if<pipeline::SetTimer>(&action))
            out.push_back(*timer);
        else if (const auto* claim = std::get_if<pipeline::AcquireClaim>(&action))
            out.push_back(AcquireClaim {
                claim->run, claim->stage, claimKeyFor(claim->service), entry.bodyHash, claim->deadline });
        else if (auto* record = std::get_if<pipeline::CompleteClaim>(&action))
            out.push_back(CompleteClaim {
                record->run, record->stage, claimKeyFor(record->service), record->outcome, std::move(record->answer) });
        else if (auto* emit = std::get_if<pipeline::EmitTokens>(&action))
            out.push_back(std::move(*emit));
        else if (auto* finish = std::get_if<pipeline::Finish>(&action)) {
            if (finish->outcome.reason == Reason::NoServer || finish->outcome.reason == Reason::Overloaded)
                finish->outcome.retryAfter = pauseOf(*entry.run.request().plan, Duration {}, now);
            sendReply(entry, std::move(finish->outcome), out);
        }
    }

    void ShardedDispatcher::sendCall(
        RunEntry& entry, pipeline::StartCall call, TimePoint now, pipeline::Actions& followUps, Actions& out)
    {
        const auto& stage = *call.stage;
        routing::PlacementRequest placementRequest;
        if (stage.kind == config::ServiceKind::ModelEngine)
            placementRequest.prefix = entry.request.prefix;
        placementRequest.avoid = entry.triedServers[call.id.stage];
        placementRequest.healthyOnly = !stage.idempotent;
        const auto placement = entry.snapshot->pools.at(stage.service)->place(placementRequest, now);
        if (!placement) {
            entry.run.onFailure(call.id, CallFailure::NotSent, now, followUps);
            return;
        }
        entry.triedServers[call.id.stage].push_back(placement->server.id);
        auto& cost = entry.costs[call.id.stage];
        const auto price = entry.snapshot->declarations->findService(stage.service)->price;
        cost.service = stage.service;
        ++cost.attempts;
        cost.calls += price;
        cost.links += placement->linkCost;
        cost.wasted += price + placement->linkCost;
        cost.crossZone += placement->crossesZone ? 1 : 0;
        entry.calls.emplace(call.id,
            PlacedCall { placement->server.id, stage.service, now, price, placement->linkCost, stage.idempotent });
        if (!call.isRetryOrHedge)
            m_policy.recordFirstAttempt(m_admission->utilization(stage.service));
        std::string key;
        if (!stage.idempotent)
            key = entry.request.account.value() + "/" + stage.service.value() + "/" + entry.request.key->value();
        out.push_back(SendCall { std::move(call), placement->server, entry.run.request().plan->priority,
            placementRequest.prefix, std::move(key) });
    }

    void ShardedDispatcher::cancelCall(RunEntry& entry, const pipeline::CancelCall& cancel, TimePoint now, Actions& out)
    {
        const auto it = entry.calls.find(cancel.id);
        if (it == entry.calls.end())
            return;
        out.push_back(StopCall { cancel.id, it->second.server });
        entry.snapshot->pools.at(it->second.service)->onCallCancelled(it->second.server, now - it->second.sentAt, now);
        entry.calls.erase(it);
    }

    void ShardedDispatcher::sendReply(RunEntry& entry, pipeline::Outcome outcome, Actions& out)
    {
        const bool answered = outcome.kind == pipeline::OutcomeKind::Answered;
        Reply reply { entry.run.request().id, entry.request.account, std::move(outcome), {}, entry.run.counters(), {} };
        if (entry.started)
            reply.queueTime = entry.startedAt - entry.submittedAt;
        for (auto& it : entry.costs) {
            auto cost = it.second;
            if (!answered)
                cost.wasted = cost.calls + cost.links;
            reply.costs.push_back(std::move(cost));
        }
        entry.replied = true;
        out.push_back(std::move(reply));
    }

    void ShardedDispatcher::onCallEnded(
        RunEntry& entry, const AttemptId& id, routing::CallOutcome callOutcome, bool resultUsed, TimePoint now)
    {
        const auto it = entry.calls.find(id);
        if (it == entry.calls.end())
            return;
        const auto& call = it->second;
        entry.snapshot->pools.at(call.service)->onCallEnded(call.server, { callOutcome, now - call.sentAt, {} }, now);
        if (resultUsed) {
            auto& wasted = entry.costs[id.stage].wasted;
            wasted.microCredits -= call.callCost.microCredits + call.linkCost.microCredits;
        }
        entry.calls.erase(it);
    }

    void ShardedDispatcher::finalizeIfReplied(
        Shard& shard, std::unordered_map<RunId, std::unique_ptr<RunEntry>>::iterator it)
    {
        auto& entry = *it->second;
        if (entry.replied && entry.admitted) {
            entry.admitted = false;
            m_admission->release(entry.reservations);
            m_slotsReleased = true;
        }
        if (entry.replied && !entry.started)
            m_admission->removeQueued(it->first);
        if (entry.replied && (!entry.started || entry.run.closed()))
            shard.runs.erase(it);
    }

    /// Slots that may be used beyond this instance's share while the utilization of the pool is low, as a multiple of
    /// that share.
    double ShardedDispatcher::borrowedShare(double utilization)
    {
        return std::clamp((borrowBelowUtilization - utilization) * borrowSlope, 0.0, 1.0);
    }

    void ShardedDispatcher::refreshLimits(TimePoint now)
    {
        auto at = m_limitsRefreshedAt.load();
        const auto ticks = now.time_since_epoch().count();
        if (at != 0 && ticks - at < limitRefreshPeriod.count())
            return;
        if (!m_limitsRefreshedAt.compare_exchange_strong(at, std::max<std::int64_t>(1, ticks)))
            return;
        for (const auto& it : snapshot()->pools) {
            const double share = it.second->usableSlots(now) / static_cast<double>(m_instanceCount);
            m_admission->setSlotLimit(
                it.first, std::max(1.0, share * (m_options.overcommit + borrowedShare(it.second->utilization()))));
        }
    }

    void ShardedDispatcher::startQueuedRuns(TimePoint now, Actions& out)
    {
        while (m_slotsReleased.exchange(false)) {
            const auto dequeued = m_admission->dequeueReady(now);
            for (const auto& admitted : dequeued.admitted) {
                auto& shard = shardOf(admitted.run);
                const std::lock_guard lock(shard.mutex);
                const auto it = shard.runs.find(admitted.run);
                if (it == shard.runs.end()) {
                    m_admission->release(admitted.reservations);
                    m_slotsReleased = true;
                    continue;
                }
                it->second->admitted = true;
                startRun(*it->second, now, out);
                finalizeIfReplied(shard, it);
            }
            for (const auto id : dequeued.rejected) {
                auto& shard = shardOf(id);
                const std::lock_guard lock(shard.mutex);
                const auto it = shard.runs.find(id);
                if (it == shard.runs.end())
                    continue;
                rejectRun(*it->second, Reason::Overloaded, it->second->run.request().plan->deadline / 2, out);
                finalizeIfReplied(shard, it);
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
        handleEvent(id.run, true, now, out,
            [&](RunEntry& entry, pipeline::Actions& actions) { entry.run.onTokens(id, offset, tokens, now, actions); });
    }

    void ShardedDispatcher::onStreamEnd(const AttemptId& id, std::uint64_t total, TimePoint now, Actions& out)
    {
        handleEvent(id.run, true, now, out, [&](RunEntry& entry, pipeline::Actions& actions) {
            const bool whole = entry.run.onStreamEnd(id, total, now, actions);
            onCallEnded(entry, id, whole ? routing::CallOutcome::Success : routing::CallOutcome::Failed, whole, now);
        });
    }

    void ShardedDispatcher::onAnswer(const AttemptId& id, pipeline::Payload body, TimePoint now, Actions& out)
    {
        handleEvent(id.run, true, now, out, [&](RunEntry& entry, pipeline::Actions& actions) {
            onCallEnded(entry, id, routing::CallOutcome::Success, true, now);
            entry.run.onAnswer(id, std::move(body), now, actions);
        });
    }

    void ShardedDispatcher::onFailure(const AttemptId& id, CallFailure failure, TimePoint now, Actions& out)
    {
        routing::CallOutcome callOutcome = routing::CallOutcome::Failed;
        if (failure == CallFailure::NotSent)
            callOutcome = routing::CallOutcome::Unreachable;
        else if (failure == CallFailure::Refused)
            callOutcome = routing::CallOutcome::Rejected;
        else if (failure == CallFailure::InvalidRequest)
            callOutcome = routing::CallOutcome::Success;
        handleEvent(id.run, true, now, out, [&](RunEntry& entry, pipeline::Actions& actions) {
            onCallEnded(entry, id, callOutcome, false, now);
            entry.run.onFailure(id, failure, now, actions);
        });
    }

    void ShardedDispatcher::onClaim(
        RunId run, StageIndex stage, const pipeline::ClaimResult& result, TimePoint now, Actions& out)
    {
        handleEvent(run, true, now, out,
            [&](RunEntry& entry, pipeline::Actions& actions) { entry.run.onClaim(stage, result, now, actions); });
    }

    void ShardedDispatcher::onTimer(const pipeline::TimerId& id, TimePoint now, Actions& out)
    {
        handleEvent(id.run, false, now, out, [&](RunEntry& entry, pipeline::Actions& actions) {
            if (entry.started) {
                if (id.kind != pipeline::TimerKind::Deadline || now >= entry.run.request().deadline)
                    entry.run.onTimer(id, now, actions);
            } else if (!entry.replied) {
                rejectRun(entry, Reason::Overloaded, entry.run.request().plan->deadline / 2, out);
            }
        });
    }

    void ShardedDispatcher::onCallerDisconnected(RunId run, TimePoint now, Actions& out)
    {
        handleEvent(run, false, now, out, [&](RunEntry& entry, pipeline::Actions& actions) {
            if (entry.started)
                entry.run.onCallerDisconnected(now, actions);
            else if (!entry.replied)
                rejectRun(entry, Reason::CallerDisconnected, {}, out);
        });
    }

    void ShardedDispatcher::endAll(TimePoint now, Actions& out)
    {
        std::vector<RunId> queued;
        std::vector<RunId> started;
        for (const auto& shard : m_shards) {
            const std::lock_guard lock(shard.mutex);
            for (const auto& it : shard.runs)
                (it.second->started ? started : queued).push_back(it.first);
        }
        // Slots that become free must not start a queued run.
        for (const auto id : queued) {
            handleEvent(id, false, now, out, [&](RunEntry& entry, pipeline::Actions&) {
                if (!entry.started && !entry.replied)
                    rejectRun(entry, Reason::ShuttingDown, {}, out);
            });
        }
        for (const auto id : started) {
            handleEvent(id, false, now, out, [&](RunEntry& entry, pipeline::Actions& actions) {
                entry.run.onTimer({ id, pipeline::TimerKind::Deadline, 0, {} }, now, actions);
            });
        }
    }

    void ShardedDispatcher::onLoadReport(
        const ServiceId& service, const BackendServerId& server, const routing::LoadReport& report)
    {
        if (const auto pool = poolOf(service))
            pool->onLoadReport(server, report);
    }

    void ShardedDispatcher::onServerChecked(
        const ServiceId& service, const config::BackendServer& server, TimePoint now)
    {
        if (const auto pool = poolOf(service))
            pool->onCheckEnded(server, true, now);
    }

    void ShardedDispatcher::onCacheEvent(
        const ServiceId& service, const BackendServerId& server, const routing::CacheEvent& event)
    {
        if (const auto pool = poolOf(service))
            pool->onCacheEvent(server, event);
    }

    Duration ShardedDispatcher::onServerPaused(
        const ServiceId& service, const BackendServerId& server, Duration time, TimePoint now)
    {
        const auto pool = poolOf(service);
        return pool ? pool->pause(server, time, now) : Duration {};
    }

    /// Returns the longest time until a stage finds a server that is not paused, of the stages that the run is expected
    /// to reach before that; 0 if there is no such stage.
    Duration ShardedDispatcher::pauseOf(const pipeline::Plan& plan, Duration typical, TimePoint now) const
    {
        const auto typicalTime = [](const pipeline::Stage& it) { return it.typicalTime; };
        Duration longest {};
        for (StageIndex i = 0; i < plan.stages.size(); ++i) {
            const auto pool = poolOf(plan.stages[i].service);
            const auto until = pool ? pool->pausedUntil(now) : std::nullopt;
            if (until && *until - now > typical - plan.criticalPath(i, typicalTime))
                longest = std::max(longest, *until - now);
        }
        return longest;
    }

    std::vector<limits::AccountDemand> ShardedDispatcher::drainDemand(TimePoint now)
    {
        const std::lock_guard lock(m_rateMutex);
        return m_rateLimiter.drainDemand(now);
    }

    void ShardedDispatcher::setRateShare(const ClientAccountId& account, double perSecond, TimePoint now)
    {
        const std::lock_guard lock(m_rateMutex);
        m_rateLimiter.setShare(account, perSecond, now);
    }

    DispatcherStatus ShardedDispatcher::status() const
    {
        DispatcherStatus status;
        for (const auto& it : m_shards) {
            const std::lock_guard lock(it.mutex);
            status.runs += it.runs.size();
        }
        status.queued = m_admission->queuedCount();
        status.unmatchedResults = m_unmatchedResults;
        return status;
    }

} // namespace

std::unique_ptr<Dispatcher> makeDispatcher(DispatcherOptions options)
{
    return std::make_unique<ShardedDispatcher>(std::move(options));
}

} // namespace foxtailwheel::serving
