#include "foxtailwheel/pipeline/Run.h"

#include <algorithm>
#include <utility>

namespace foxtailwheel::pipeline {

namespace {

    using namespace std::chrono_literals;

    constexpr std::size_t mostAttempts = 4;
    constexpr Duration lingerLimit = 30s;
    /// Part of the slack that passes before a hedge.
    constexpr double hedgeSlackShare = 0.25;
    /// Share of the expected time below which the time left is hopeless.
    constexpr double hopelessShare = 0.5;

    /// Latest useful times of a call that starts now.
    struct CallTimes {
        TimePoint deadline;
        TimePoint sendBy;
    };

    enum class Phase { Waiting, Claiming, Running, Done };

    struct Attempt {
        AttemptNumber number;
        AttemptLife life;
        TimePoint lastProgress;
    };

    struct StageRun {
        Phase phase = Phase::Waiting;
        std::vector<Attempt> attempts;
        Payload result;
        bool claimed = false;
        bool hedged = false;
        std::uint64_t tokenCount = 0;
        std::string text;
        std::optional<AttemptNumber> streamOwner;

        Attempt* find(AttemptNumber number);
        bool anyOpen() const;
        bool effectPossible() const;
    };

    Attempt* StageRun::find(AttemptNumber number)
    {
        const auto it
            = std::find_if(attempts.begin(), attempts.end(), [number](const Attempt& a) { return a.number == number; });
        return it == attempts.end() ? nullptr : &*it;
    }

    bool StageRun::anyOpen() const
    {
        return std::any_of(attempts.begin(), attempts.end(), [](const Attempt& it) { return it.life.open(); });
    }

    bool StageRun::effectPossible() const
    {
        return std::any_of(
            attempts.begin(), attempts.end(), [](const Attempt& it) { return it.life.effectPossible(); });
    }

    Reason reasonOf(CallFailure failure)
    {
        switch (failure) {
        case CallFailure::NotSent:
            return Reason::NoServer;
        case CallFailure::Refused:
            return Reason::Overloaded;
        case CallFailure::Rejected:
            return Reason::BackendRejected;
        case CallFailure::Broken:
        case CallFailure::Silent:
        case CallFailure::Truncated:
        case CallFailure::Failed:
            break;
        }
        return Reason::BackendFailed;
    }

    Reason reasonOf(ClaimState state)
    {
        switch (state) {
        case ClaimState::InProgress:
            return Reason::InProgress;
        case ClaimState::KeyReused:
            return Reason::KeyReused;
        case ClaimState::Unavailable:
            return Reason::TableUnavailable;
        case ClaimState::Granted:
        case ClaimState::Recorded:
        case ClaimState::Unknown:
            break;
        }
        return Reason::EffectUnknown;
    }

    bool neverStarted(CallFailure failure)
    {
        return failure == CallFailure::NotSent || failure == CallFailure::Refused;
    }

} // namespace

struct Run::Impl {
    Impl(RunRequest r, RunPolicy& p)
        : request(std::move(r))
        , policy(p)
        , stages(request.plan->stages.size())
    {
    }

    const Stage& stageAt(StageIndex i) const { return request.plan->stages[i]; }
    ExpectedTime expected() const
    {
        return [this](const Stage& stage) { return policy.expectedTime(stage); };
    }
    AttemptId idOf(StageIndex stage, AttemptNumber attempt) const { return { request.id, stage, attempt }; }

    bool hopeless(StageIndex stage, TimePoint now) const;
    void startReady(TimePoint now, Actions& out);
    void startStage(StageIndex stage, TimePoint now, Actions& out);
    void dispatch(StageIndex stage, bool isExtra, TimePoint now, Actions& out);
    CallTimes timesOf(StageIndex stage, TimePoint now) const;
    StageInput inputOf(StageIndex stage) const;
    void setHedgeTimer(StageIndex stage, AttemptNumber attempt, TimePoint now, Actions& out);
    void complete(StageIndex stage, Payload result, TimePoint now, Actions& out);
    void retryOrEnd(StageIndex stage, CallFailure failure, TimePoint now, Actions& out);
    void record(StageIndex stage, ClaimEnd end, Payload answer, Actions& out);
    void cancel(StageIndex stage, Attempt& attempt, Actions& out);
    void cancelOthers(StageIndex stage, AttemptNumber winner, Actions& out);
    bool effectPossible() const;
    void finish(Payload answer, Reason reason, TimePoint now, Actions& out);
    void finishAs(Outcome outcome, TimePoint now, Actions& out);
    void letGo(StageIndex stage, TimePoint now, Actions& out);
    void onHedgeTimer(const TimerId& id, TimePoint now, Actions& out);
    void onProgressTimer(const TimerId& id, TimePoint now, Actions& out);
    void onLingerTimer(const TimerId& id, Actions& out);
    void failAttempt(StageIndex stage, Attempt& attempt, CallFailure failure, TimePoint now, Actions& out);
    void take(
        StageIndex stage, Attempt& attempt, std::uint64_t skip, const std::vector<std::string>& tokens, Actions& out);
    StageRun* stageOf(const AttemptId& id);

    RunRequest request;
    RunPolicy& policy;
    std::vector<StageRun> stages;
    RunCounters counters;
    bool finished = false;
    bool effectRecorded = false; ///< A claim answered from the record: the effect happened in an earlier run.
};

StageRun* Run::Impl::stageOf(const AttemptId& id)
{
    if (id.run != request.id || id.stage >= stages.size())
        return nullptr;
    return &stages[id.stage];
}

bool Run::Impl::hopeless(StageIndex stage, TimePoint now) const
{
    const auto needed = toSeconds(request.plan->criticalPath(stage, expected())) * hopelessShare;
    return now + fromSeconds(needed) > request.deadline;
}

StageInput Run::Impl::inputOf(StageIndex stage) const
{
    StageInput input { request.body, {} };
    for (const auto needed : stageAt(stage).needs)
        input.parts.push_back({ stageAt(needed).service, stages[needed].result });
    return input;
}

void Run::Impl::startReady(TimePoint now, Actions& out)
{
    for (StageIndex i = 0; i < stages.size() && !finished; ++i) {
        const auto& needs = stageAt(i).needs;
        const bool ready = std::all_of(
            needs.begin(), needs.end(), [this](StageIndex it) { return stages[it].phase == Phase::Done; });
        if (ready && stages[i].phase == Phase::Waiting)
            startStage(i, now, out);
    }
}

void Run::Impl::startStage(StageIndex stage, TimePoint now, Actions& out)
{
    if (hopeless(stage, now)) {
        finish(nullptr, Reason::DeadlineExceeded, now, out);
        return;
    }
    if (stageAt(stage).idempotent) {
        stages[stage].phase = Phase::Running;
        dispatch(stage, false, now, out);
        return;
    }
    stages[stage].phase = Phase::Claiming;
    out.push_back(InsertClaim { request.id, stage, stageAt(stage).service, timesOf(stage, now).sendBy });
}

CallTimes Run::Impl::timesOf(StageIndex stage, TimePoint now) const
{
    const auto needed = policy.expectedTime(stageAt(stage));
    const auto tail = request.plan->criticalPath(stage, expected()) - needed;
    const auto deadline = std::max(request.deadline - fromSeconds(toSeconds(tail) * hopelessShare), now);
    return { deadline, std::max(deadline - fromSeconds(toSeconds(needed) * hopelessShare), now) };
}

void Run::Impl::dispatch(StageIndex stage, bool isExtra, TimePoint now, Actions& out)
{
    auto& state = stages[stage];
    const AttemptNumber number(state.attempts.size() + 1);
    state.attempts.push_back({ number, AttemptLife(), now });
    const auto times = timesOf(stage, now);
    const auto giveUpAt = stageAt(stage).idempotent ? times.deadline : request.deadline + lingerLimit;
    out.push_back(StartCall { idOf(stage, number), &stageAt(stage), inputOf(stage), times.deadline, giveUpAt,
        times.sendBy, state.tokenCount, state.text, isExtra });
    if (stageAt(stage).idempotent)
        setHedgeTimer(stage, number, now, out);
}

void Run::Impl::setHedgeTimer(StageIndex stage, AttemptNumber attempt, TimePoint now, Actions& out)
{
    const auto delay = policy.hedgeDelay(stageAt(stage));
    if (!delay || stages[stage].hedged)
        return;
    // With much time left a hedge buys nothing but cost, so it waits for a part of the slack as well.
    const auto slack = std::max<Duration>(request.deadline - now - request.plan->criticalPath(stage, expected()), 0s);
    out.push_back(SetTimer { { request.id, TimerKind::Hedge, stage, attempt },
        now + *delay + fromSeconds(toSeconds(slack) * hedgeSlackShare) });
}

void Run::Impl::cancel(StageIndex stage, Attempt& attempt, Actions& out)
{
    if (attempt.life.process(AttemptEvent::Cancel))
        out.push_back(CancelCall { idOf(stage, attempt.number) });
}

void Run::Impl::cancelOthers(StageIndex stage, AttemptNumber winner, Actions& out)
{
    for (auto& it : stages[stage].attempts) {
        if (it.number != winner)
            cancel(stage, it, out);
    }
}

void Run::Impl::record(StageIndex stage, ClaimEnd end, Payload answer, Actions& out)
{
    if (!std::exchange(stages[stage].claimed, false))
        return;
    out.push_back(RecordClaim { request.id, stage, stageAt(stage).service, end, std::move(answer) });
}

void Run::Impl::complete(StageIndex stage, Payload result, TimePoint now, Actions& out)
{
    auto& state = stages[stage];
    state.phase = Phase::Done;
    state.result = result;
    record(stage, ClaimEnd::Answered, result, out);
    if (finished)
        return;
    if (stage == request.plan->result())
        finish(std::move(result), Reason::None, now, out);
    else
        startReady(now, out);
}

bool Run::Impl::effectPossible() const
{
    if (effectRecorded)
        return true;
    for (StageIndex i = 0; i < stages.size(); ++i) {
        if (!stageAt(i).idempotent && stages[i].effectPossible())
            return true;
    }
    return false;
}

void Run::Impl::finish(Payload answer, Reason reason, TimePoint now, Actions& out)
{
    finishAs(decideOutcome(std::move(answer), effectPossible(), reason), now, out);
}

void Run::Impl::finishAs(Outcome outcome, TimePoint now, Actions& out)
{
    if (std::exchange(finished, true))
        return;
    for (StageIndex i = 0; i < stages.size(); ++i)
        letGo(i, now, out);
    out.push_back(Finish { request.id, std::move(outcome) });
}

void Run::Impl::letGo(StageIndex stage, TimePoint now, Actions& out)
{
    auto& state = stages[stage];
    if (stageAt(stage).idempotent) {
        for (auto& it : state.attempts)
            cancel(stage, it, out);
        return;
    }
    if (state.anyOpen())
        out.push_back(
            SetTimer { { request.id, TimerKind::Linger, stage, state.attempts.back().number }, now + lingerLimit });
    else if (state.phase == Phase::Running)
        record(stage, state.effectPossible() ? ClaimEnd::Unknown : ClaimEnd::NotStarted, nullptr, out);
}

void Run::Impl::retryOrEnd(StageIndex stage, CallFailure failure, TimePoint now, Actions& out)
{
    auto& state = stages[stage];
    if (state.anyOpen())
        return;
    const bool started = !neverStarted(failure);
    const bool allowed = stageAt(stage).idempotent ? failure != CallFailure::Rejected : !started;
    const bool possible = allowed && state.attempts.size() < mostAttempts && !hopeless(stage, now);
    if (!possible || !policy.takeExtra(stageAt(stage), started)) {
        finish(nullptr, reasonOf(failure), now, out);
        return;
    }
    ++counters.retries;
    if (state.tokenCount > 0)
        ++counters.resumes;
    dispatch(stage, true, now, out);
}

void Run::Impl::failAttempt(StageIndex stage, Attempt& attempt, CallFailure failure, TimePoint now, Actions& out)
{
    auto& state = stages[stage];
    if (state.streamOwner == attempt.number)
        state.streamOwner.reset();
    if (finished) {
        if (!stageAt(stage).idempotent && !state.anyOpen())
            record(stage, state.effectPossible() ? ClaimEnd::Unknown : ClaimEnd::NotStarted, nullptr, out);
        return;
    }
    if (state.phase == Phase::Running)
        retryOrEnd(stage, failure, now, out);
}

void Run::Impl::take(
    StageIndex stage, Attempt& attempt, std::uint64_t skip, const std::vector<std::string>& tokens, Actions& out)
{
    auto& state = stages[stage];
    if (!state.streamOwner) {
        state.streamOwner = attempt.number;
        cancelOthers(stage, attempt.number, out);
    }
    EmitTokens emit { request.id, state.tokenCount, {} };
    for (auto i = skip; i < tokens.size(); ++i) {
        state.text += tokens[i];
        ++state.tokenCount;
        emit.tokens.push_back(tokens[i]);
    }
    const bool wanted = request.stream && !finished && stage == request.plan->result();
    if (wanted && !emit.tokens.empty())
        out.push_back(std::move(emit));
}

void Run::Impl::onHedgeTimer(const TimerId& id, TimePoint now, Actions& out)
{
    auto& state = stages[id.stage];
    const auto* attempt = state.find(id.attempt);
    const bool useful
        = attempt != nullptr && attempt->life.open() && state.phase == Phase::Running && !state.streamOwner;
    if (finished || !useful || !stageAt(id.stage).idempotent || state.hedged || state.attempts.size() >= mostAttempts
        || hopeless(id.stage, now))
        return;
    if (!policy.takeExtra(stageAt(id.stage), true))
        return;
    state.hedged = true;
    ++counters.hedges;
    dispatch(id.stage, true, now, out);
}

void Run::Impl::onProgressTimer(const TimerId& id, TimePoint now, Actions& out)
{
    auto& state = stages[id.stage];
    auto* attempt = state.find(id.attempt);
    if (finished || attempt == nullptr || !attempt->life.open())
        return;
    const auto due = attempt->lastProgress + policy.progressLimit(stageAt(id.stage));
    if (due > now) {
        out.push_back(SetTimer { id, due });
        return;
    }
    attempt->life.process(AttemptEvent::Failure);
    out.push_back(CancelCall { idOf(id.stage, id.attempt) });
    failAttempt(id.stage, *attempt, CallFailure::Silent, now, out);
}

void Run::Impl::onLingerTimer(const TimerId& id, Actions& out)
{
    auto& state = stages[id.stage];
    for (auto& it : state.attempts)
        cancel(id.stage, it, out);
    record(id.stage, ClaimEnd::Unknown, nullptr, out);
}

Run::Run(RunRequest request, RunPolicy& policy)
    : m_impl(std::make_unique<Impl>(std::move(request), policy))
{
}
Run::Run(Run&&) noexcept = default;
Run& Run::operator=(Run&&) noexcept = default;
Run::~Run() = default;

void Run::start(TimePoint now, Actions& out)
{
    out.push_back(SetTimer { { m_impl->request.id, TimerKind::Deadline, 0, {} }, m_impl->request.deadline });
    m_impl->startReady(now, out);
}

void Run::onSent(const AttemptId& id)
{
    auto* stage = m_impl->stageOf(id);
    auto* attempt = stage == nullptr ? nullptr : stage->find(id.attempt);
    if (attempt != nullptr)
        attempt->life.process(AttemptEvent::FirstByte);
}

void Run::onTokens(
    const AttemptId& id, std::uint64_t offset, const std::vector<std::string>& tokens, TimePoint now, Actions& out)
{
    auto* stage = m_impl->stageOf(id);
    auto* attempt = stage == nullptr ? nullptr : stage->find(id.attempt);
    const bool foreign = stage != nullptr && stage->streamOwner && *stage->streamOwner != id.attempt;
    if (attempt == nullptr || foreign || !attempt->life.process(AttemptEvent::Progress)) {
        ++m_impl->counters.strayResults;
        return;
    }
    const bool first = !stage->streamOwner;
    attempt->lastProgress = now;
    if (offset > stage->tokenCount) {
        attempt->life.process(AttemptEvent::Failure);
        out.push_back(CancelCall { id });
        m_impl->failAttempt(id.stage, *attempt, CallFailure::Truncated, now, out);
        return;
    }
    m_impl->take(id.stage, *attempt, stage->tokenCount - offset, tokens, out);
    if (first)
        out.push_back(SetTimer { { m_impl->request.id, TimerKind::Progress, id.stage, id.attempt },
            now + m_impl->policy.progressLimit(m_impl->stageAt(id.stage)) });
}

void Run::onStreamEnd(const AttemptId& id, std::uint64_t total, TimePoint now, Actions& out)
{
    auto* stage = m_impl->stageOf(id);
    auto* attempt = stage == nullptr ? nullptr : stage->find(id.attempt);
    if (attempt == nullptr || !attempt->life.open() || stage->phase != Phase::Running) {
        ++m_impl->counters.strayResults;
        return;
    }
    if (total != stage->tokenCount) {
        attempt->life.process(AttemptEvent::Failure);
        m_impl->failAttempt(id.stage, *attempt, CallFailure::Truncated, now, out);
        return;
    }
    attempt->life.process(AttemptEvent::Answer);
    m_impl->cancelOthers(id.stage, id.attempt, out);
    m_impl->complete(id.stage, payloadOf(stage->text), now, out);
}

void Run::onAnswer(const AttemptId& id, Payload body, TimePoint now, Actions& out)
{
    auto* stage = m_impl->stageOf(id);
    auto* attempt = stage == nullptr ? nullptr : stage->find(id.attempt);
    if (attempt == nullptr || stage->phase != Phase::Running || !body) {
        ++m_impl->counters.strayResults;
        return;
    }
    const bool late = !attempt->life.process(AttemptEvent::Answer);
    if (late && (m_impl->finished || !attempt->life.effectPossible())) {
        ++m_impl->counters.strayResults;
        return;
    }
    m_impl->cancelOthers(id.stage, id.attempt, out);
    m_impl->complete(id.stage, std::move(body), now, out);
}

void Run::onFailure(const AttemptId& id, CallFailure failure, TimePoint now, Actions& out)
{
    auto* stage = m_impl->stageOf(id);
    auto* attempt = stage == nullptr ? nullptr : stage->find(id.attempt);
    const auto event = neverStarted(failure) ? AttemptEvent::NotStarted : AttemptEvent::Failure;
    if (attempt == nullptr || !attempt->life.process(event))
        return;
    m_impl->failAttempt(id.stage, *attempt, failure, now, out);
}

void Run::onClaim(StageIndex stage, const ClaimResult& result, TimePoint now, Actions& out)
{
    auto& impl = *m_impl;
    if (stage >= impl.stages.size() || impl.stages[stage].phase != Phase::Claiming) {
        ++impl.counters.strayResults;
        return;
    }
    auto& state = impl.stages[stage];
    state.phase = Phase::Running;
    if (result.state == ClaimState::Granted) {
        state.claimed = true;
        if (impl.finished)
            impl.record(stage, ClaimEnd::NotStarted, nullptr, out);
        else if (impl.hopeless(stage, now))
            impl.finish(nullptr, Reason::DeadlineExceeded, now, out);
        else
            impl.dispatch(stage, false, now, out);
        return;
    }
    if (result.state == ClaimState::Recorded) {
        impl.effectRecorded = true;
        impl.complete(stage, result.answer, now, out);
        return;
    }
    impl.effectRecorded
        = impl.effectRecorded || result.state == ClaimState::Unknown || result.state == ClaimState::InProgress;
    impl.finish(nullptr, reasonOf(result.state), now, out);
}

void Run::onTimer(const TimerId& id, TimePoint now, Actions& out)
{
    if (id.run != m_impl->request.id || id.stage >= m_impl->stages.size())
        return;
    switch (id.kind) {
    case TimerKind::Deadline:
        m_impl->finish(nullptr, Reason::DeadlineExceeded, now, out);
        return;
    case TimerKind::Hedge:
        m_impl->onHedgeTimer(id, now, out);
        return;
    case TimerKind::Progress:
        m_impl->onProgressTimer(id, now, out);
        return;
    case TimerKind::Linger:
        m_impl->onLingerTimer(id, out);
        return;
    }
}

void Run::onCallerLeft(TimePoint now, Actions& out)
{
    m_impl->finish(nullptr, Reason::CallerLeft, now, out);
}

bool Run::finished() const
{
    return m_impl->finished;
}

bool Run::closed() const
{
    if (!m_impl->finished)
        return false;
    return std::none_of(m_impl->stages.begin(), m_impl->stages.end(),
        [](const StageRun& it) { return it.phase == Phase::Claiming || it.claimed || it.anyOpen(); });
}

const RunCounters& Run::counters() const
{
    return m_impl->counters;
}

const RunRequest& Run::request() const
{
    return m_impl->request;
}

} // namespace foxtailwheel::pipeline
