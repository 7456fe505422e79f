#include "foxtailwheel/serving/Forwarder.h"

#include "ForwardRun.h"
#include "ServerDirectory.h"
#include "foxtailwheel/base/Hash.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <unordered_map>

namespace foxtailwheel::serving {

namespace {

    using namespace std::chrono_literals;

    /// Calls that ended without running before a request is given up; each one is an arrival at the service.
    constexpr std::uint32_t mostRefusals = 3;
    /// Groups of pieces that are asked for again after a failure, for each stage.
    constexpr std::uint32_t mostGroupTries = 3;
    /// Times that all stages of a request are made again because a result was gone.
    constexpr std::uint32_t mostRestarts = 1;
    /// Longest wait for a usable server before the request is refused.
    constexpr Duration serverWait = 300ms;
    /// Pause between looks for a usable server.
    constexpr Duration serverRetryPause = 25ms;
    /// Hint for callers of an instance that has no configuration or no current credentials.
    constexpr Duration instanceRetryAfter = 300ms;
    /// Part of its time within which a late request must be foreseen to be made: others still come and go first.
    constexpr double surelyMadeShare = 0.7;
    /// Least hint for callers that are refused under load: about the time of one batch call.
    constexpr Duration leastRetryAfter = 300ms;
    /// Hint for callers that no server could take.
    constexpr Duration serverRetryAfter = 500ms;
    /// Share of a plain request's goal after which a second server is asked.
    constexpr double secondAttemptShare = 0.5;
    /// Share of a resumable stream's goal without its first event after which it is moved.
    constexpr double moveShare = 0.6;
    /// Least time without the first event after which a stream is moved.
    constexpr Duration leastMoveDelay = 900ms;
    /// Pause within a resumable stream after which it is moved; callers leave after two seconds.
    constexpr Duration streamSilence = 1100ms;
    /// Callers differ in their patience by less than this; one that has less of the longest time has asked before.
    constexpr double firstAttemptShare = 0.8;
    /// The longest time of a route's callers is measured anew after this while.
    constexpr Duration callerTimeMemory = 10s;
    /// Time from the last stage's results to the first event of an answer.
    constexpr Duration leastAnswerTime = 150ms;
    /// Part of a full call that pieces of a busy stage wait before they leave: the mean, since calls end at any time.
    constexpr double waitShare = 0.5;
    /// Part of its time that a request must have left to be worth sending.
    constexpr Duration leastTimeToSend = 5ms;

    enum class TimerKind { Deadline, FindServer, SecondAttempt, Silence, Batches };

    struct Timer {
        TimerKind kind = TimerKind::Deadline;
        ForwardId run;
        CallId call;
        ServiceId service;
    };

    /// Longest time that callers of a route came with lately.
    struct CallerTime {
        Duration time {};
        TimePoint until;
    };

    struct GroupOwner {
        ForwardId run;
        StageIndex stage = 0;
    };

    Duration fullCall(const config::BatchLimits& limits)
    {
        return limits.callTime + limits.pieceTime * limits.pieces;
    }

    std::string number(double n)
    {
        return std::to_string(static_cast<long>(n));
    }

    /// Weighted rendezvous hashing: a zone wins a share of all affinities in proportion to its weight.
    std::optional<AvailabilityZoneId> drawZone(
        const std::map<AvailabilityZoneId, double>& weights, std::uint64_t affinity)
    {
        std::optional<AvailabilityZoneId> best;
        double highest = 0;
        for (const auto& [zone, weight] : weights) {
            const double uniform = (static_cast<double>(hashOf(zone.value(), affinity) >> 11U) + 0.5) * 0x1.0p-53;
            const double score = weight / -std::log(uniform);
            if (score > highest) {
                best = zone;
                highest = score;
            }
        }
        return best;
    }

    unsigned statusOf(ForwardEnd end)
    {
        switch (end) {
        case ForwardEnd::NoRoute:
            return 404;
        case ForwardEnd::BadCredential:
            return 401;
        case ForwardEnd::BadRequest:
            return 400;
        case ForwardEnd::BackendFailed:
            return 502;
        case ForwardEnd::TimedOut:
            return 504;
        default:
            return 503;
        }
    }

    class RoutingForwarder final : public Forwarder {
    public:
        explicit RoutingForwarder(ForwarderOptions options)
            : m_options(std::move(options))
            , m_directory(m_options, [this] { return newCall(); })
            , m_broker(
                  m_options.pools.self, [this](const ServiceId& id) { return queueOf(id); }, m_options.note)
            , m_random(m_options.pools.seed)
        {
        }

        bool configure(std::shared_ptr<const config::RouteTable> table, TimePoint now, ForwardActions& out) override;
        std::shared_ptr<const config::RouteTable> table() const override { return m_table; }
        void setServers(const std::vector<AnnouncedServer>& servers, TimePoint now, ForwardActions& out) override;
        void confirmCredentials(TimePoint asOf) override { m_confirmedAt = std::max(m_confirmedAt, asOf); }
        void setMembers(const std::vector<InstanceId>& live, const std::vector<InstanceId>& owners,
            const std::set<InstanceId>& gone, TimePoint now, ForwardActions& out) override;
        void onPeer(const InstanceId& from, const PieceMessage& message, TimePoint now, ForwardActions& out) override;
        void onPeerLost(const InstanceId& instance, TimePoint now, ForwardActions& out) override;
        void stopAccepting() override { m_accepting = false; }
        ForwardId newRequest() override { return ForwardId(++m_lastRun); }
        void submit(ForwardId id, ForwardRequest request, TimePoint now, ForwardActions& out) override;
        void onCallerLeft(ForwardId id, TimePoint now, ForwardActions& out) override;
        void onHead(CallId call, http::Response head, TimePoint now, ForwardActions& out) override;
        void onData(CallId call, std::string_view bytes, TimePoint now, ForwardActions& out) override;
        void onEnd(
            CallId call, ForwardCallEnd end, http::Response response, TimePoint now, ForwardActions& out) override;
        void onBatchEnd(CallId call, BatchEnd end, const std::vector<PieceResult>& results, TimePoint now,
            ForwardActions& out) override;
        void onLoad(CallId call, const ToldLoad& load, TimePoint now) override;
        void onTime(TimePoint now, ForwardActions& out) override;
        TimePoint nextTime() const override
        {
            const auto timer = m_timers.empty() ? TimePoint::max() : m_timers.begin()->first;
            return std::min(timer, m_broker.nextTime());
        }
        ForwarderStatus status(TimePoint now) const override;

    private:
        CallId newCall() { return CallId(++m_lastCall); }
        BatchQueue* queueOf(const ServiceId& id);
        void pumpAll(TimePoint now, ForwardActions& out);
        void shareQueues(TimePoint now);
        ForwardRun* find(ForwardId id);
        ForwardRun* ownerOf(CallId call);
        void setTimer(TimePoint at, Timer timer) { m_timers.emplace(at, std::move(timer)); }
        void note(const ForwardRun& run, std::string_view event,
            std::vector<std::pair<std::string_view, std::string>> fields) const;

        std::optional<ForwardEnd> authorize(ForwardRun& run, TimePoint now) const;
        ServiceId drawService(const ForwardRun& run);
        void start(ForwardRun& run, TimePoint now, ForwardActions& out);
        Duration spentBefore(const ForwardRun& run, TimePoint now);
        void chooseZone(ForwardRun& run);
        Duration expectedTime(const ForwardRun& run, bool late, TimePoint now) const;
        std::optional<Duration> overloaded(const ForwardRun& run, TimePoint now) const;

        void startStages(ForwardRun& run, TimePoint now, ForwardActions& out);
        void requestPieces(ForwardRun& run, StageIndex stage, TimePoint now, ForwardActions& out);
        void restartStages(ForwardRun& run, TimePoint now, ForwardActions& out);
        Piece pieceOf(const ForwardRun& run, StageIndex stage, std::uint32_t index) const;
        void carry(BrokerActions actions, TimePoint now, ForwardActions& out);
        TimePoint goalOf(const ForwardRun& run, StageIndex stage) const;
        PieceGroup groupOf(const ForwardRun& run, StageIndex stage, TimePoint now) const;
        static long stagesFrom(const ForwardRun& run, StageIndex stage);
        void takePiece(const PieceDone& piece, TimePoint now, ForwardActions& out);
        void pieceFailed(ForwardRun& run, StageIndex stage, const PieceDone& piece, PieceFailure failure, TimePoint now,
            ForwardActions& out);
        void release(ReleaseResults results, TimePoint now, ForwardActions& out);
        void releaseStage(ForwardRun& run, StageIndex stage, TimePoint now, ForwardActions& out);
        void releaseFollowed(ForwardRun& run, TimePoint now, ForwardActions& out);
        void forgetStages(ForwardRun& run, TimePoint now, ForwardActions& out);

        void sendRequest(ForwardRun& run, TimePoint now, ForwardActions& out);
        std::optional<std::uint64_t> affinityOf(const ForwardRun& run) const;
        bool sendTo(ForwardRun& run, bool again, TimePoint now, ForwardActions& out);
        void closeCall(
            ForwardRun& run, CallId call, routing::CallSign sign, bool stop, TimePoint now, ForwardActions& out);
        void callNotRun(ForwardRun& run, ForwardCallEnd end, TimePoint now, ForwardActions& out);
        void callBroken(ForwardRun& run, ForwardCallEnd end, TimePoint now, ForwardActions& out);
        void complete(ForwardRun& run, http::Response response, TimePoint now, ForwardActions& out);
        void moveStream(ForwardRun& run, TimePoint now, ForwardActions& out);

        void refuse(ForwardRun& run, ForwardEnd end, Duration retryAfter, TimePoint now, ForwardActions& out);
        void finishStream(ForwardRun& run, ForwardEnd end, TimePoint now, ForwardActions& out);
        void close(ForwardRun& run, TimePoint now, ForwardActions& out);
        void fail(ForwardRun& run, ForwardEnd end, TimePoint now, ForwardActions& out);
        void onTimer(const Timer& timer, TimePoint now, ForwardActions& out);
        void onDeadline(ForwardRun& run, TimePoint now, ForwardActions& out);

        ForwarderOptions m_options;
        std::shared_ptr<const config::RouteTable> m_table;
        ServerDirectory m_directory;
        PieceBroker m_broker;
        std::size_t m_instances = 1;
        bool m_accepting = true;
        Random m_random;
        std::unordered_map<ForwardId, std::unique_ptr<ForwardRun>> m_runs;
        std::unordered_map<CallId, ForwardId> m_calls;
        std::unordered_map<CallId, ServiceId> m_batchCalls;
        std::unordered_map<PieceGroupId, GroupOwner> m_groups;
        std::multimap<TimePoint, Timer> m_timers;
        std::unordered_map<std::string, CallerTime> m_callerTimes; ///< By route.
        std::set<ServiceId> m_pumpTimers; ///< Services whose queue has a timer.
        TimePoint m_confirmedAt {};
        std::uint64_t m_lastRun = 0;
        std::uint64_t m_lastCall = 0;
        std::uint64_t m_lastGroup = 0;
    };

    // ---- Configuration and servers

    bool RoutingForwarder::configure(
        std::shared_ptr<const config::RouteTable> table, TimePoint now, ForwardActions& out)
    {
        if (m_table && table->version <= m_table->version)
            return false;
        m_table = std::move(table);
        m_directory.configure(*m_table);
        shareQueues(now);
        pumpAll(now, out);
        return true;
    }

    void RoutingForwarder::setServers(const std::vector<AnnouncedServer>& servers, TimePoint now, ForwardActions& out)
    {
        m_directory.setServers(servers);
        pumpAll(now, out);
    }

    BatchQueue* RoutingForwarder::queueOf(const ServiceId& id)
    {
        auto* state = m_directory.find(id);
        return state == nullptr ? nullptr : state->batches.get();
    }

    void RoutingForwarder::pumpAll(TimePoint now, ForwardActions& out)
    {
        BrokerActions actions;
        for (const auto& it : m_directory.services())
            m_broker.pump(it.first, now, actions);
        carry(std::move(actions), now, out);
    }

    /// The owner of a service fills all of its servers; others, which only stand in for it, their part.
    void RoutingForwarder::shareQueues(TimePoint now)
    {
        for (auto& it : m_directory.services()) {
            if (it.second.batches)
                it.second.batches->setShare(
                    m_broker.gathers(it.first, now) ? 1 : 1.0 / static_cast<double>(m_instances));
        }
    }

    void RoutingForwarder::setMembers(const std::vector<InstanceId>& live, const std::vector<InstanceId>& owners,
        const std::set<InstanceId>& gone, TimePoint now, ForwardActions& out)
    {
        m_instances = std::max<std::size_t>(1, live.size());
        m_directory.setInstances(m_instances);
        BrokerActions actions;
        m_broker.setMembers(m_options.batchAcrossInstances ? owners : std::vector<InstanceId>(), gone, now, actions);
        shareQueues(now);
        carry(std::move(actions), now, out);
    }

    void RoutingForwarder::onPeer(
        const InstanceId& from, const PieceMessage& message, TimePoint now, ForwardActions& out)
    {
        BrokerActions actions;
        if (std::holds_alternative<PiecesAsked>(message))
            shareQueues(now);
        m_broker.onMessage(from, message, now, actions);
        carry(std::move(actions), now, out);
    }

    void RoutingForwarder::onPeerLost(const InstanceId& instance, TimePoint now, ForwardActions& out)
    {
        BrokerActions actions;
        m_broker.onLost(instance, now, actions);
        shareQueues(now);
        carry(std::move(actions), now, out);
    }

    ForwarderStatus RoutingForwarder::status(TimePoint now) const
    {
        ForwarderStatus status;
        status.version = m_table ? m_table->version : 0;
        status.requests = m_runs.size();
        status.credentialsCurrent
            = m_table && (!m_table->needsCredentials || now - m_confirmedAt <= m_options.credentialLife);
        return status;
    }

    // ---- Requests

    ForwardRun* RoutingForwarder::find(ForwardId id)
    {
        const auto it = m_runs.find(id);
        return it == m_runs.end() ? nullptr : it->second.get();
    }

    ForwardRun* RoutingForwarder::ownerOf(CallId call)
    {
        const auto it = m_calls.find(call);
        return it == m_calls.end() ? nullptr : find(it->second);
    }

    void RoutingForwarder::note(const ForwardRun& run, std::string_view event,
        std::vector<std::pair<std::string_view, std::string>> fields) const
    {
        if (m_options.note)
            m_options.note({ event, run.request.name, std::move(fields) });
    }

    /// Finds the account of the credential. Without a recent confirmation nothing is said about a credential.
    std::optional<ForwardEnd> RoutingForwarder::authorize(ForwardRun& run, TimePoint now) const
    {
        if (run.route->isPublic || !m_table->needsCredentials)
            return std::nullopt;
        if (now - m_confirmedAt > m_options.credentialLife)
            return ForwardEnd::CredentialsOutdated;
        const auto it = m_table->credentials.find(run.request.credential);
        if (run.request.credential.empty() || it == m_table->credentials.end())
            return ForwardEnd::BadCredential;
        run.account = it->second.account;
        run.priority = it->second.priority.value_or(run.route->priority);
        return std::nullopt;
    }

    ServiceId RoutingForwarder::drawService(const ForwardRun& run)
    {
        const auto& targets = run.route->targets;
        double all = 0;
        for (const auto& it : targets)
            all += it.weight;
        double drawn = m_random.uniform() * all;
        for (const auto& it : targets) {
            drawn -= it.weight;
            if (drawn < 0)
                return it.service;
        }
        return targets.back().service;
    }

    void RoutingForwarder::submit(ForwardId id, ForwardRequest request, TimePoint now, ForwardActions& out)
    {
        auto entry = std::make_unique<ForwardRun>();
        auto& run = *entry;
        run.id = id;
        run.request = std::move(request);
        run.acceptedAt = now;
        run.table = m_table;
        m_runs.emplace(id, std::move(entry));
        if (!m_accepting) {
            refuse(run, ForwardEnd::ShuttingDown, {}, now, out);
            return;
        }
        if (!m_table) {
            refuse(run, ForwardEnd::NoConfiguration, instanceRetryAfter, now, out);
            return;
        }
        run.route = m_table->findRoute(run.request.host, run.request.message.path());
        if (run.route == nullptr) {
            refuse(run, ForwardEnd::NoRoute, {}, now, out);
            return;
        }
        run.priority = run.route->priority;
        if (const auto end = authorize(run, now)) {
            refuse(run, *end, *end == ForwardEnd::CredentialsOutdated ? instanceRetryAfter : Duration {}, now, out);
            return;
        }
        start(run, now, out);
    }

    void RoutingForwarder::start(ForwardRun& run, TimePoint now, ForwardActions& out)
    {
        const auto& route = *run.route;
        run.deadline = now + std::min(route.timeLimit, run.request.timeLeft.value_or(route.timeLimit));
        run.service = drawService(run);
        run.begunAt = now - spentBefore(run, now);
        run.lastEvent = run.request.lastEventId;
        run.stages.resize(route.stages.size());
        for (StageIndex i = 0; i < run.stages.size(); ++i) {
            const auto n = i < run.request.pieces.size() ? run.request.pieces[i] : 0;
            run.stages[i].results.resize(n);
            run.stages[i].missing = n;
        }
        setTimer(run.deadline, { TimerKind::Deadline, run.id, {}, {} });
        chooseZone(run);
        if (const auto retryAfter = overloaded(run, now); m_options.earlyRefusal && retryAfter) {
            note(run, "overload_foreseen",
                { { "goal_left_ms", number(toMilliseconds(run.begunAt + route.goal - now)) },
                    { "timely_ms", number(toMilliseconds(expectedTime(run, false, now))) },
                    { "late_ms", number(toMilliseconds(expectedTime(run, true, now))) },
                    { "time_left_ms", number(toMilliseconds(run.timeLeft(now))) } });
            refuse(run, ForwardEnd::Overloaded, *retryAfter, now, out);
            return;
        }
        note(run, "request_accepted",
            { { "route", route.name }, { "version", std::to_string(run.table->version) },
                { "service", run.service.value() }, { "account", run.account.value() },
                { "time_left_ms", number(toMilliseconds(run.timeLeft(now))) },
                { "credentials_age_ms", number(toMilliseconds(now - m_confirmedAt)) } });
        startStages(run, now, out);
    }

    /// Time that the caller has spent on earlier attempts: callers of a route begin with the same time, so one that has
    /// less of it has asked before.
    Duration RoutingForwarder::spentBefore(const ForwardRun& run, TimePoint now)
    {
        if (!run.request.timeLeft)
            return {};
        auto& longest = m_callerTimes[run.route->name];
        const auto left = *run.request.timeLeft;
        if (left >= longest.time || now > longest.until)
            longest = { left, now + callerTimeMemory };
        return toSeconds(left) > toSeconds(longest.time) * firstAttemptShare ? Duration {} : longest.time - left;
    }

    /// Results are made where the request will run, since moving them between zones costs. The zones get requests in
    /// proportion to the servers of the route's scarcest stage there.
    void RoutingForwarder::chooseZone(ForwardRun& run)
    {
        const auto affinity = affinityOf(run);
        if (!affinity || run.stages.empty())
            return;
        std::vector<ServiceId> stages;
        for (const auto& it : run.route->stages)
            stages.push_back(it.service);
        run.homeZone = drawZone(m_directory.zoneShares(stages, run.service), *affinity);
    }

    /// Time until the answer begins, along the longest way through the stages, as the queues stand.
    /// @param late The request cannot meet its goal, so that its pieces go last.
    Duration RoutingForwarder::expectedTime(const ForwardRun& run, bool late, TimePoint now) const
    {
        std::vector<Duration> done(run.stages.size());
        Duration longest {};
        for (StageIndex i = 0; i < run.stages.size(); ++i) {
            for (const auto needed : run.route->stages[i].needs)
                done[i] = std::max(done[i], done[needed]);
            if (const auto n = run.stages[i].missing; n > 0)
                done[i] += m_broker.expectedWait(run.route->stages[i].service, run.priority, late, n, now);
            longest = std::max(longest, done[i]);
        }
        return longest;
    }

    /// Whether a request would wait in vain: it cannot meet its goal, and what cannot is not made in its time. Such a
    /// request is told so at once, before anything is made for it.
    /// @return When to come back.
    std::optional<Duration> RoutingForwarder::overloaded(const ForwardRun& run, TimePoint now) const
    {
        const auto goalLeft = run.begunAt + run.route->goal - now;
        if (expectedTime(run, false, now) <= goalLeft)
            return std::nullopt;
        const auto left = run.timeLeft(now);
        const auto expected = expectedTime(run, true, now);
        if (expected <= fromSeconds(toSeconds(left) * surelyMadeShare))
            return std::nullopt;
        return std::clamp<Duration>(expected - left, leastRetryAfter, std::max<Duration>(left / 3, leastRetryAfter));
    }

    void RoutingForwarder::onCallerLeft(ForwardId id, TimePoint now, ForwardActions& out)
    {
        auto* run = find(id);
        if (run == nullptr)
            return;
        note(*run, "caller_left", { { "after_ms", number(toMilliseconds(now - run->acceptedAt)) } });
        close(*run, now, out);
    }

    // ---- Stages

    Piece RoutingForwarder::pieceOf(const ForwardRun& run, StageIndex stage, std::uint32_t index) const
    {
        Piece piece { run.request.name, stage, index, {}, {} };
        for (const auto needed : run.route->stages[stage].needs) {
            for (const auto& it : run.stages[needed].results)
                piece.inputs.push_back(it->value);
        }
        if (run.route->stages[stage].needs.empty())
            piece.key = run.request.pieceKey;
        return piece;
    }

    void RoutingForwarder::startStages(ForwardRun& run, TimePoint now, ForwardActions& out)
    {
        const auto id = run.id;
        bool progress = true;
        while (progress) {
            progress = false;
            for (StageIndex i = 0; i < run.stages.size(); ++i) {
                auto& stage = run.stages[i];
                const auto& needs = run.route->stages[i].needs;
                const bool ready
                    = std::all_of(needs.begin(), needs.end(), [&run](StageIndex it) { return run.stages[it].done(); });
                if (stage.started || !ready)
                    continue;
                stage.started = true;
                progress = true;
                if (stage.missing > 0)
                    requestPieces(run, i, now, out);
                if (find(id) == nullptr)
                    return;
            }
        }
        releaseFollowed(run, now, out);
        if (run.prepared() && run.calls.empty())
            sendRequest(run, now, out);
    }

    /// When the results of a stage are wanted: the request's goal less the usual time of what follows.
    TimePoint RoutingForwarder::goalOf(const ForwardRun& run, StageIndex stage) const
    {
        Duration after = leastAnswerTime;
        std::vector<bool> follows(run.stages.size(), false);
        for (StageIndex i = stage + 1; i < run.stages.size(); ++i) {
            const auto& needs = run.route->stages[i].needs;
            follows[i]
                = std::any_of(needs.begin(), needs.end(), [&](StageIndex it) { return it == stage || follows[it]; });
            const auto* service = run.table->findService(run.route->stages[i].service);
            if (follows[i] && service != nullptr && service->batch)
                after += fromSeconds(toSeconds(fullCall(*service->batch)) * (1 + waitShare));
        }
        return run.begunAt + run.route->goal - after;
    }

    /// Stages with pieces that are still to come, this one included; each may wait for its part of the time to spare.
    long RoutingForwarder::stagesFrom(const ForwardRun& run, StageIndex stage)
    {
        return 1
            + std::count_if(run.stages.begin() + static_cast<std::ptrdiff_t>(stage) + 1, run.stages.end(),
                [](const StageProgress& it) { return it.missing > 0; });
    }

    /// The pieces of a stage that have no result yet.
    PieceGroup RoutingForwarder::groupOf(const ForwardRun& run, StageIndex stage, TimePoint now) const
    {
        const auto& progress = run.stages[stage];
        const auto goal = goalOf(run, stage);
        PieceGroup group { progress.group, {}, run.priority, goal, run.deadline, run.homeZone,
            now + (goal - now) / stagesFrom(run, stage), run.route->stages[stage].resultBytes, progress.tries > 0 };
        for (std::uint32_t i = 0; i < progress.results.size(); ++i) {
            if (!progress.results[i])
                group.pieces.push_back(pieceOf(run, stage, i));
        }
        return group;
    }

    void RoutingForwarder::requestPieces(ForwardRun& run, StageIndex stage, TimePoint now, ForwardActions& out)
    {
        const auto& service = run.route->stages[stage].service;
        if (queueOf(service) == nullptr) {
            fail(run, ForwardEnd::StageFailed, now, out);
            return;
        }
        auto& progress = run.stages[stage];
        progress.group = PieceGroupId(++m_lastGroup);
        m_groups[progress.group] = { run.id, stage };
        auto group = groupOf(run, stage, now);
        note(run, "pieces_asked",
            { { "stage", std::to_string(stage) }, { "service", service.value() },
                { "owner", m_broker.ownerOf(service, now).value() }, { "pieces", std::to_string(group.pieces.size()) },
                { "goal_ms", number(toMilliseconds(group.goal - now)) },
                { "expected_ms",
                    number(toMilliseconds(
                        m_broker.expectedWait(service, run.priority, false, group.pieces.size(), now))) } });
        BrokerActions actions;
        m_broker.ask(service, std::move(group), now, actions);
        carry(std::move(actions), now, out);
    }

    /// Passes on what the broker decided.
    void RoutingForwarder::carry(BrokerActions actions, TimePoint now, ForwardActions& out)
    {
        for (auto& it : actions) {
            if (auto* send = std::get_if<SendBatch>(&it)) {
                m_batchCalls[send->call] = send->service;
                out.emplace_back(std::move(*send));
            } else if (auto* tell = std::get_if<TellInstance>(&it)) {
                out.emplace_back(std::move(*tell));
            } else if (auto* release = std::get_if<ReleaseResults>(&it)) {
                out.emplace_back(std::move(*release));
            } else {
                takePiece(std::get<PieceDone>(it), now, out);
            }
        }
        for (const auto& it : m_directory.services()) {
            const auto at = it.second.batches ? it.second.batches->nextPump() : std::nullopt;
            if (!at || m_pumpTimers.contains(it.first))
                continue;
            m_pumpTimers.insert(it.first);
            setTimer(std::max(*at, now), { TimerKind::Batches, {}, {}, it.first });
        }
    }

    void RoutingForwarder::takePiece(const PieceDone& piece, TimePoint now, ForwardActions& out)
    {
        const auto* handle = std::get_if<ResultHandle>(&piece.result);
        const auto owner = m_groups.find(piece.group);
        auto* run = owner == m_groups.end() ? nullptr : find(owner->second.run);
        if (run == nullptr) {
            if (handle != nullptr)
                release({ handle->service, handle->maker, { handle->value } }, now, out);
            return;
        }
        const auto stage = owner->second.stage;
        auto& progress = run->stages[stage];
        if (handle == nullptr) {
            pieceFailed(*run, stage, piece, std::get<PieceFailure>(piece.result), now, out);
            return;
        }
        if (piece.index >= progress.results.size() || progress.results[piece.index]) {
            // Made twice, here and at the owner.
            release({ handle->service, handle->maker, { handle->value } }, now, out);
            return;
        }
        progress.results[piece.index] = *handle;
        if (--progress.missing == 0) {
            m_groups.erase(piece.group);
            note(*run, "stage_done",
                { { "stage", std::to_string(stage) }, { "pieces", std::to_string(progress.results.size()) },
                    { "after_ms", number(toMilliseconds(now - run->acceptedAt)) } });
            startStages(*run, now, out);
        }
    }

    void RoutingForwarder::pieceFailed(ForwardRun& run, StageIndex stage, const PieceDone& piece, PieceFailure failure,
        TimePoint now, ForwardActions& out)
    {
        auto& progress = run.stages[stage];
        note(run, "piece_failed",
            { { "stage", std::to_string(stage) }, { "piece", std::to_string(piece.index) },
                { "reason", std::string(toString(failure)) }, { "tries", std::to_string(progress.tries) } });
        if (failure == PieceFailure::Late) {
            fail(run, ForwardEnd::TimedOutWaiting, now, out);
            return;
        }
        if (failure == PieceFailure::InputGone) {
            restartStages(run, now, out);
            return;
        }
        auto* state = m_directory.find(run.route->stages[stage].service);
        if (++progress.tries > mostGroupTries || !state->budget.take(1, now)) {
            fail(run, ForwardEnd::StageFailed, now, out);
            return;
        }
        auto group = groupOf(run, stage, now);
        std::erase_if(group.pieces, [&piece](const Piece& it) { return it.index != piece.index; });
        BrokerActions actions;
        m_broker.ask(run.route->stages[stage].service, std::move(group), now, actions);
        carry(std::move(actions), now, out);
    }

    void RoutingForwarder::restartStages(ForwardRun& run, TimePoint now, ForwardActions& out)
    {
        if (++run.restarts > mostRestarts) {
            fail(run, ForwardEnd::StageFailed, now, out);
            return;
        }
        note(run, "stages_restarted", { { "restarts", std::to_string(run.restarts) } });
        forgetStages(run, now, out);
        for (auto& it : run.stages) {
            it.started = false;
            it.released = false;
            it.missing = it.results.size();
            std::fill(it.results.begin(), it.results.end(), std::nullopt);
        }
        startStages(run, now, out);
    }

    void RoutingForwarder::release(ReleaseResults results, TimePoint now, ForwardActions& out)
    {
        BrokerActions actions;
        m_broker.release(std::move(results), now, actions);
        carry(std::move(actions), now, out);
    }

    void RoutingForwarder::releaseStage(ForwardRun& run, StageIndex stage, TimePoint now, ForwardActions& out)
    {
        auto& progress = run.stages[stage];
        if (std::exchange(progress.released, true))
            return;
        std::map<std::string, ReleaseResults> byMaker;
        for (const auto& it : progress.results) {
            if (!it)
                continue;
            auto& results = byMaker[it->maker.id.value()];
            results.service = it->service;
            results.maker = it->maker;
            results.handles.push_back(it->value);
        }
        for (auto& it : byMaker)
            release(std::move(it.second), now, out);
    }

    /// Releases the results of stages whose followers are all done.
    void RoutingForwarder::releaseFollowed(ForwardRun& run, TimePoint now, ForwardActions& out)
    {
        for (StageIndex i = 0; i < run.stages.size(); ++i) {
            bool followed = false;
            bool needed = false;
            for (StageIndex j = 0; j < run.stages.size(); ++j) {
                const auto& needs = run.route->stages[j].needs;
                const bool takes = std::find(needs.begin(), needs.end(), i) != needs.end();
                followed = followed || takes;
                needed = needed || (takes && !run.stages[j].done());
            }
            if (followed && !needed && run.stages[i].done())
                releaseStage(run, i, now, out);
        }
    }

    /// Drops what still waits for the run and releases the results it has.
    void RoutingForwarder::forgetStages(ForwardRun& run, TimePoint now, ForwardActions& out)
    {
        for (StageIndex i = 0; i < run.stages.size(); ++i) {
            auto& stage = run.stages[i];
            if (stage.started && stage.missing > 0) {
                m_groups.erase(stage.group);
                BrokerActions actions;
                m_broker.cancel(stage.group, actions);
                for (auto& it : actions)
                    out.emplace_back(std::get<TellInstance>(std::move(it)));
            }
            releaseStage(run, i, now, out);
        }
    }

    // ---- Calls of the request itself

    /// Requests of the same subject meet at the same server: the part before the last is the one they share.
    std::optional<std::uint64_t> RoutingForwarder::affinityOf(const ForwardRun& run) const
    {
        const auto& prompt = run.request.prompt;
        if (m_options.affinity && run.route->prefixAffinity && !prompt.empty())
            return prompt[prompt.size() > 1 ? prompt.size() - 2 : 0].id;
        return run.stages.empty() ? std::nullopt : std::optional(hashOf(run.request.name));
    }

    void RoutingForwarder::sendRequest(ForwardRun& run, TimePoint now, ForwardActions& out)
    {
        if (run.timeLeft(now) < leastTimeToSend) {
            fail(run, run.mayHaveRun ? ForwardEnd::TimedOut : ForwardEnd::TimedOutWaiting, now, out);
            return;
        }
        if (!sendTo(run, !run.tried.empty(), now, out))
            setTimer(now + serverRetryPause, { TimerKind::FindServer, run.id, {}, {} });
    }

    bool RoutingForwarder::sendTo(ForwardRun& run, bool again, TimePoint now, ForwardActions& out)
    {
        auto* state = m_directory.find(run.service);
        if (state == nullptr)
            return false;
        routing::PlacementRequest wanted;
        wanted.avoid = run.tried;
        wanted.careful = !run.idempotent();
        wanted.affinity = affinityOf(run);
        wanted.zone = run.homeZone;
        const auto placement = state->pool->place(wanted, now);
        if (!placement)
            return false;
        if (!std::exchange(run.budgetEarned, true))
            state->budget.earn(now);
        const auto call = newCall();
        const auto& server = placement->server;
        run.calls.push_back({ call, server.id, now, false });
        run.tried.push_back(server.id);
        ++run.started;
        run.mayHaveRun = true;
        m_calls[call] = run.id;
        SendForward send { call, run.id, server, run.request.message, run.request.name, run.account, run.timeLeft(now),
            run.priority, run.inputs(), run.lastEvent, run.route->streams, run.idempotent(), run.deadline };
        note(run, "request_sent",
            { { "call", std::to_string(call.value()) }, { "server", server.id.value() }, { "again", again ? "1" : "0" },
                { "after_ms", number(toMilliseconds(now - run.acceptedAt)) },
                { "expected_ms", number(toMilliseconds(placement->expected)) } });
        out.emplace_back(std::move(send));
        if (run.idempotent() && m_options.secondAttempts) {
            const auto goal = toSeconds(run.route->goal);
            const auto delay = run.route->streams ? std::max(leastMoveDelay, fromSeconds(goal * moveShare))
                                                  : fromSeconds(goal * secondAttemptShare);
            setTimer(now + delay, { TimerKind::SecondAttempt, run.id, call, {} });
        }
        return true;
    }

    /// Ends a call in the run's and the pool's books.
    void RoutingForwarder::closeCall(
        ForwardRun& run, CallId call, routing::CallSign sign, bool stop, TimePoint now, ForwardActions& out)
    {
        const auto it
            = std::find_if(run.calls.begin(), run.calls.end(), [call](const OpenCall& c) { return c.id == call; });
        if (it == run.calls.end())
            return;
        if (auto* state = m_directory.find(run.service))
            state->pool->ended(it->server, { sign, now - it->sentAt, {} }, now);
        if (stop)
            out.emplace_back(StopForward { call });
        m_calls.erase(call);
        run.calls.erase(it);
    }

    void RoutingForwarder::onHead(CallId call, http::Response head, TimePoint now, ForwardActions& out)
    {
        auto* run = ownerOf(call);
        if (run == nullptr)
            return;
        auto* open = run->findCall(call);
        open->headSeen = true;
        run->lastBytesAt = now;
        // The first event shows that the server has read its inputs.
        for (StageIndex i = 0; i < run->stages.size(); ++i)
            releaseStage(*run, i, now, out);
        if (!run->route->streams)
            return;
        note(*run, "stream_began",
            { { "call", std::to_string(call.value()) },
                { "after_ms", number(toMilliseconds(now - run->acceptedAt)) } });
        if (!std::exchange(run->headSent, true))
            out.emplace_back(ReplyHead { run->id, std::move(head) });
        if (run->idempotent() && m_options.secondAttempts)
            setTimer(now + streamSilence, { TimerKind::Silence, run->id, call, {} });
    }

    void RoutingForwarder::onData(CallId call, std::string_view bytes, TimePoint now, ForwardActions& out)
    {
        auto* run = ownerOf(call);
        if (run == nullptr || !run->headSent)
            return;
        run->lastBytesAt = now;
        std::string passed;
        for (auto& event : run->events.feed(bytes)) {
            // A server that resumes may repeat events that the caller has.
            if (event.id && run->lastEvent && *event.id <= *run->lastEvent)
                continue;
            if (event.id)
                run->lastEvent = event.id;
            passed += event.bytes;
        }
        if (!passed.empty())
            out.emplace_back(ReplyBytes { run->id, std::move(passed) });
    }

    void RoutingForwarder::onEnd(
        CallId call, ForwardCallEnd end, http::Response response, TimePoint now, ForwardActions& out)
    {
        auto* run = ownerOf(call);
        if (run == nullptr)
            return;
        const bool headSeen = run->findCall(call)->headSeen;
        if (end != ForwardCallEnd::Complete)
            note(*run, "call_failed",
                { { "call", std::to_string(call.value()) }, { "end", std::string(toString(end)) },
                    { "status", std::to_string(response.status) },
                    { "after_ms", number(toMilliseconds(now - run->acceptedAt)) } });
        switch (end) {
        case ForwardCallEnd::Complete:
            closeCall(*run, call, response.status >= 500 ? routing::CallSign::Broken : routing::CallSign::Good, false,
                now, out);
            if (run->route->streams && headSeen)
                finishStream(*run, run->events.midEvent() ? ForwardEnd::StreamBroken : ForwardEnd::Answered, now, out);
            else
                complete(*run, std::move(response), now, out);
            return;
        case ForwardCallEnd::NotSent:
        case ForwardCallEnd::Misdirected:
            closeCall(*run, call, routing::CallSign::Unreachable, false, now, out);
            callNotRun(*run, end, now, out);
            return;
        case ForwardCallEnd::Refused:
            closeCall(*run, call, routing::CallSign::Busy, false, now, out);
            callNotRun(*run, end, now, out);
            return;
        case ForwardCallEnd::InputGone:
            closeCall(*run, call, routing::CallSign::Good, false, now, out);
            callNotRun(*run, end, now, out);
            return;
        case ForwardCallEnd::Broken:
        case ForwardCallEnd::TimedOut:
            closeCall(*run, call, routing::CallSign::Broken, false, now, out);
            callBroken(*run, end, now, out);
            return;
        }
    }

    /// The call certainly did not run, so another server may be asked even where a request may run only once.
    void RoutingForwarder::callNotRun(ForwardRun& run, ForwardCallEnd end, TimePoint now, ForwardActions& out)
    {
        --run.started;
        run.mayHaveRun = run.started > 0;
        if (!run.calls.empty())
            return;
        if (end == ForwardCallEnd::InputGone) {
            run.tried.clear();
            restartStages(run, now, out);
            return;
        }
        auto* state = m_directory.find(run.service);
        const bool arrived = end != ForwardCallEnd::NotSent;
        if (++run.refusals > mostRefusals || (arrived && !state->budget.take(1, now))) {
            fail(run, run.mayHaveRun ? ForwardEnd::BackendFailed : ForwardEnd::NotStarted, now, out);
            return;
        }
        sendRequest(run, now, out);
    }

    /// The call may have run: only what may be repeated goes to another server.
    void RoutingForwarder::callBroken(ForwardRun& run, ForwardCallEnd end, TimePoint now, ForwardActions& out)
    {
        if (!run.calls.empty())
            return;
        const auto failure = end == ForwardCallEnd::TimedOut ? ForwardEnd::TimedOut : ForwardEnd::BackendFailed;
        auto* state = m_directory.find(run.service);
        const bool allowed = run.idempotent() && run.started < run.route->maxServers;
        if (!allowed || !state->budget.take(1, now)) {
            fail(run, run.headSent ? ForwardEnd::StreamBroken : failure, now, out);
            return;
        }
        run.events = {};
        const bool released
            = std::any_of(run.stages.begin(), run.stages.end(), [](const StageProgress& it) { return it.released; });
        if (released)
            restartStages(run, now, out);
        else
            sendRequest(run, now, out);
    }

    void RoutingForwarder::complete(ForwardRun& run, http::Response response, TimePoint now, ForwardActions& out)
    {
        auto* state = m_directory.find(run.service);
        const bool failed = response.status >= 500;
        const bool again = failed && run.idempotent() && run.started < run.route->maxServers && !run.headSent
            && run.calls.empty() && run.timeLeft(now) > serverRetryPause;
        if (again && state->budget.take(1, now)) {
            note(run, "answer_not_used", { { "status", std::to_string(response.status) } });
            callBroken(run, ForwardCallEnd::Broken, now, out);
            return;
        }
        if (run.headSent) {
            finishStream(run, ForwardEnd::StreamBroken, now, out);
            return;
        }
        note(run, "request_answered",
            { { "status", std::to_string(response.status) },
                { "after_ms", number(toMilliseconds(now - run.acceptedAt)) } });
        out.emplace_back(ReplyWhole { run.id, std::move(response), ForwardEnd::Answered, {} });
        close(run, now, out);
    }

    /// Takes a stream away from a server that has gone silent and goes on at another.
    void RoutingForwarder::moveStream(ForwardRun& run, TimePoint now, ForwardActions& out)
    {
        while (!run.calls.empty())
            closeCall(run, run.calls.front().id, routing::CallSign::Broken, true, now, out);
        callBroken(run, ForwardCallEnd::TimedOut, now, out);
    }

    // ---- Ends

    void RoutingForwarder::refuse(
        ForwardRun& run, ForwardEnd end, Duration retryAfter, TimePoint now, ForwardActions& out)
    {
        note(run, "request_refused",
            { { "reason", std::string(toString(end)) }, { "after_ms", number(toMilliseconds(now - run.acceptedAt)) },
                { "version", std::to_string(m_table ? m_table->version : 0) },
                { "credentials_age_ms", number(toMilliseconds(now - m_confirmedAt)) },
                { "retry_after_ms", number(toMilliseconds(retryAfter)) } });
        http::Response response { statusOf(end), { { "Content-Type", "application/json" } }, {} };
        response.body = "{\"reason\":\"" + std::string(toString(end)) + "\"}";
        out.emplace_back(ReplyWhole { run.id, std::move(response), end, retryAfter });
        close(run, now, out);
    }

    void RoutingForwarder::fail(ForwardRun& run, ForwardEnd end, TimePoint now, ForwardActions& out)
    {
        if (run.headSent)
            finishStream(run, ForwardEnd::StreamBroken, now, out);
        else
            refuse(run, end, statusOf(end) == 503 ? serverRetryAfter : Duration {}, now, out);
    }

    void RoutingForwarder::finishStream(ForwardRun& run, ForwardEnd end, TimePoint now, ForwardActions& out)
    {
        note(run, "stream_ended",
            { { "end", std::string(toString(end)) }, { "last_event", std::to_string(run.lastEvent.value_or(0)) },
                { "after_ms", number(toMilliseconds(now - run.acceptedAt)) } });
        out.emplace_back(ReplyEnd { run.id, end });
        close(run, now, out);
    }

    /// Forgets the run: its calls are broken off, its pieces dropped, its results released.
    void RoutingForwarder::close(ForwardRun& run, TimePoint now, ForwardActions& out)
    {
        const auto id = run.id;
        while (!run.calls.empty()) {
            const auto& call = run.calls.front();
            closeCall(run, call.id, routing::CallSign::Busy, true, now, out);
        }
        if (run.route != nullptr)
            forgetStages(run, now, out);
        m_runs.erase(id);
    }

    // ---- Batches, load and time

    void RoutingForwarder::onBatchEnd(
        CallId call, BatchEnd end, const std::vector<PieceResult>& results, TimePoint now, ForwardActions& out)
    {
        const auto it = m_batchCalls.find(call);
        if (it == m_batchCalls.end())
            return;
        const auto service = it->second;
        m_batchCalls.erase(it);
        BrokerActions actions;
        m_broker.onBatchEnd(service, call, end, results, now, actions);
        carry(std::move(actions), now, out);
    }

    void RoutingForwarder::onLoad(CallId call, const ToldLoad& load, TimePoint now)
    {
        auto* run = ownerOf(call);
        if (run == nullptr)
            return;
        const auto* open = run->findCall(call);
        if (auto* state = m_directory.find(run->service))
            state->pool->reported(open->server, { load.running, load.waiting, now });
    }

    void RoutingForwarder::onTime(TimePoint now, ForwardActions& out)
    {
        while (!m_timers.empty() && m_timers.begin()->first <= now) {
            const auto timer = m_timers.begin()->second;
            m_timers.erase(m_timers.begin());
            onTimer(timer, now, out);
        }
        BrokerActions actions;
        m_broker.onTime(now, actions);
        carry(std::move(actions), now, out);
    }

    void RoutingForwarder::onTimer(const Timer& timer, TimePoint now, ForwardActions& out)
    {
        if (timer.kind == TimerKind::Batches) {
            m_pumpTimers.erase(timer.service);
            BrokerActions actions;
            m_broker.pump(timer.service, now, actions);
            carry(std::move(actions), now, out);
            return;
        }
        auto* run = find(timer.run);
        if (run == nullptr)
            return;
        const auto* call = run->findCall(timer.call);
        auto* state = m_directory.find(run->service);
        switch (timer.kind) {
        case TimerKind::Deadline:
            onDeadline(*run, now, out);
            return;
        case TimerKind::FindServer:
            if (!run->calls.empty() || !run->prepared())
                return;
            if (sendTo(*run, !run->tried.empty(), now, out))
                return;
            if (now - run->acceptedAt > std::max(serverWait, run->route->goal))
                fail(*run, run->mayHaveRun ? ForwardEnd::BackendFailed : ForwardEnd::NoServer, now, out);
            else
                setTimer(now + serverRetryPause, timer);
            return;
        case TimerKind::SecondAttempt:
            if (call == nullptr || call->headSeen || run->started >= run->route->maxServers)
                return;
            if (run->route->streams)
                moveStream(*run, now, out);
            else if (run->calls.size() == 1 && state->budget.take(1, now))
                sendTo(*run, true, now, out);
            return;
        case TimerKind::Silence:
            if (call == nullptr || run->started >= run->route->maxServers)
                return;
            if (now - run->lastBytesAt >= streamSilence)
                moveStream(*run, now, out);
            else
                setTimer(run->lastBytesAt + streamSilence, timer);
            return;
        case TimerKind::Batches:
            return;
        }
    }

    void RoutingForwarder::onDeadline(ForwardRun& run, TimePoint now, ForwardActions& out)
    {
        fail(run, run.mayHaveRun ? ForwardEnd::TimedOut : ForwardEnd::TimedOutWaiting, now, out);
    }

} // namespace

std::string_view toString(ForwardEnd end)
{
    switch (end) {
    case ForwardEnd::Answered:
        return "answered";
    case ForwardEnd::NoConfiguration:
        return "no_configuration";
    case ForwardEnd::NoRoute:
        return "no_route";
    case ForwardEnd::BadCredential:
        return "bad_credential";
    case ForwardEnd::CredentialsOutdated:
        return "credentials_outdated";
    case ForwardEnd::BadRequest:
        return "bad_request";
    case ForwardEnd::NoServer:
        return "no_server";
    case ForwardEnd::Overloaded:
        return "overloaded";
    case ForwardEnd::StageFailed:
        return "stage_failed";
    case ForwardEnd::NotStarted:
        return "not_started";
    case ForwardEnd::BackendFailed:
        return "backend_failed";
    case ForwardEnd::TimedOut:
        return "timed_out";
    case ForwardEnd::TimedOutWaiting:
        return "timed_out_waiting";
    case ForwardEnd::CallerLeft:
        return "caller_left";
    case ForwardEnd::StreamBroken:
        return "stream_broken";
    case ForwardEnd::ShuttingDown:
        return "shutting_down";
    }
    return "unknown";
}

std::string_view toString(ForwardCallEnd end)
{
    switch (end) {
    case ForwardCallEnd::Complete:
        return "complete";
    case ForwardCallEnd::NotSent:
        return "not_sent";
    case ForwardCallEnd::Refused:
        return "refused";
    case ForwardCallEnd::Misdirected:
        return "misdirected";
    case ForwardCallEnd::InputGone:
        return "input_gone";
    case ForwardCallEnd::TimedOut:
        return "timed_out";
    case ForwardCallEnd::Broken:
        break;
    }
    return "broken";
}

std::unique_ptr<Forwarder> Forwarder::create(ForwarderOptions options)
{
    return std::make_unique<RoutingForwarder>(std::move(options));
}

} // namespace foxtailwheel::serving
