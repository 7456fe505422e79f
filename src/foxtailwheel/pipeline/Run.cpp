#include "foxtailwheel/pipeline/Run.h"

#include <algorithm>
#include <utility>

namespace foxtailwheel::pipeline {

namespace {

    using namespace std::chrono_literals;

    constexpr std::size_t maxStageAttempts = 4;
    /// Time after the end of a run for which the result of a non-idempotent call is still recorded.
    constexpr Duration lingerTimeout = 30s;
    /// Fraction of the slack by which a hedge is delayed.
    constexpr double hedgeSlackFraction = 0.25;
    /// Fraction of the expected time that must remain; with less, work is not started.
    constexpr double minTimeFraction = 0.5;

    /// Deadlines of a call that starts now.
    struct CallDeadlines {
        TimePoint deadline;
        TimePoint sendBy;
    };

    enum class Phase { Waiting, Claiming, Running, Done };

    struct Attempt {
        AttemptNumber number;
        AttemptStateMachine stateMachine;
        TimePoint lastProgress;
    };

    struct StageState {
        Phase phase = Phase::Waiting;
        std::vector<Attempt> attempts;
        Payload result;
        bool claimed = false;
        bool hedged = false;
        std::uint64_t tokenCount = 0;
        std::string text;
        std::optional<AttemptNumber> streamingAttempt;

        Attempt* findAttempt(AttemptNumber number);
        bool hasOpenAttempt() const;
        bool sideEffectPossible() const;
    };

    Attempt* StageState::findAttempt(AttemptNumber number)
    {
        const auto it
            = std::find_if(attempts.begin(), attempts.end(), [number](const Attempt& a) { return a.number == number; });
        return it == attempts.end() ? nullptr : &*it;
    }

    bool StageState::hasOpenAttempt() const
    {
        return std::any_of(
            attempts.begin(), attempts.end(), [](const Attempt& it) { return it.stateMachine.isOpen(); });
    }

    bool StageState::sideEffectPossible() const
    {
        return std::any_of(
            attempts.begin(), attempts.end(), [](const Attempt& it) { return it.stateMachine.sideEffectPossible(); });
    }

    Reason reasonOf(CallFailure failure)
    {
        switch (failure) {
        case CallFailure::NotSent:
            return Reason::NoServer;
        case CallFailure::Refused:
            return Reason::Overloaded;
        case CallFailure::InvalidRequest:
            return Reason::BackendRejected;
        case CallFailure::ConnectionLost:
        case CallFailure::TimedOut:
        case CallFailure::Truncated:
        case CallFailure::ServerError:
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
    ExpectedTime expectedTimes() const
    {
        return [this](const Stage& stage) { return policy.expectedTime(stage); };
    }
    AttemptId attemptId(StageIndex stage, AttemptNumber attempt) const { return { request.id, stage, attempt }; }

    bool cannotFinishInTime(StageIndex stage, TimePoint now) const;
    void startReadyStages(TimePoint now, Actions& out);
    void startStage(StageIndex stage, TimePoint now, Actions& out);
    void dispatch(StageIndex stage, bool isRetryOrHedge, TimePoint now, Actions& out);
    CallDeadlines callDeadlines(StageIndex stage, TimePoint now) const;
    StageInput stageInput(StageIndex stage) const;
    void setHedgeTimer(StageIndex stage, AttemptNumber attempt, TimePoint now, Actions& out);
    void complete(StageIndex stage, Payload result, TimePoint now, Actions& out);
    void retryOrFinish(StageIndex stage, CallFailure failure, TimePoint now, Actions& out);
    void recordClaim(StageIndex stage, ClaimOutcome outcome, Payload answer, Actions& out);
    void cancel(StageIndex stage, Attempt& attempt, Actions& out);
    void cancelOthers(StageIndex stage, AttemptNumber winner, Actions& out);
    bool sideEffectPossible() const;
    void finish(Payload answer, Reason reason, TimePoint now, Actions& out);
    void finishWith(Outcome outcome, TimePoint now, Actions& out);
    void abandonStage(StageIndex stage, TimePoint now, Actions& out);
    void onHedgeTimer(const TimerId& id, TimePoint now, Actions& out);
    void onProgressTimer(const TimerId& id, TimePoint now, Actions& out);
    void onLingerTimer(const TimerId& id, Actions& out);
    void handleFailure(StageIndex stage, Attempt& attempt, CallFailure failure, TimePoint now, Actions& out);
    void appendTokens(
        StageIndex stage, Attempt& attempt, std::uint64_t skip, const std::vector<std::string>& tokens, Actions& out);
    StageState* findStage(const AttemptId& id);

    RunRequest request;
    RunPolicy& policy;
    std::vector<StageState> stages;
    RunCounters counters;
    bool finished = false;
    bool sideEffectInOtherRun = false; ///< A claim showed that another run made its call or may have made it.
};

StageState* Run::Impl::findStage(const AttemptId& id)
{
    if (id.run != request.id || id.stage >= stages.size())
        return nullptr;
    return &stages[id.stage];
}

bool Run::Impl::cannotFinishInTime(StageIndex stage, TimePoint now) const
{
    const auto requiredSeconds = toSeconds(request.plan->criticalPath(stage, expectedTimes())) * minTimeFraction;
    return now + fromSeconds(requiredSeconds) > request.deadline;
}

StageInput Run::Impl::stageInput(StageIndex stage) const
{
    StageInput input { request.body, {} };
    for (const auto dependency : stageAt(stage).dependsOn)
        input.dependencyResults.push_back({ stageAt(dependency).service, stages[dependency].result });
    return input;
}

void Run::Impl::startReadyStages(TimePoint now, Actions& out)
{
    for (StageIndex i = 0; i < stages.size() && !finished; ++i) {
        const auto& dependencies = stageAt(i).dependsOn;
        const bool ready = std::all_of(dependencies.begin(), dependencies.end(),
            [this](StageIndex it) { return stages[it].phase == Phase::Done; });
        if (ready && stages[i].phase == Phase::Waiting)
            startStage(i, now, out);
    }
}

void Run::Impl::startStage(StageIndex stage, TimePoint now, Actions& out)
{
    if (cannotFinishInTime(stage, now)) {
        finish(nullptr, Reason::DeadlineExceeded, now, out);
        return;
    }
    if (stageAt(stage).idempotent) {
        stages[stage].phase = Phase::Running;
        dispatch(stage, false, now, out);
        return;
    }
    stages[stage].phase = Phase::Claiming;
    out.push_back(AcquireClaim { request.id, stage, stageAt(stage).service, callDeadlines(stage, now).sendBy });
}

CallDeadlines Run::Impl::callDeadlines(StageIndex stage, TimePoint now) const
{
    const auto callTime = policy.expectedTime(stageAt(stage));
    const auto remainingPath = request.plan->criticalPath(stage, expectedTimes()) - callTime;
    const auto deadline = std::max(request.deadline - fromSeconds(toSeconds(remainingPath) * minTimeFraction), now);
    return { deadline, std::max(deadline - fromSeconds(toSeconds(callTime) * minTimeFraction), now) };
}

void Run::Impl::dispatch(StageIndex stage, bool isRetryOrHedge, TimePoint now, Actions& out)
{
    auto& state = stages[stage];
    const AttemptNumber number(state.attempts.size() + 1);
    state.attempts.push_back({ number, AttemptStateMachine(), now });
    const auto deadlines = callDeadlines(stage, now);
    const auto responseDeadline = stageAt(stage).idempotent ? deadlines.deadline : request.deadline + lingerTimeout;
    out.push_back(StartCall { attemptId(stage, number), &stageAt(stage), stageInput(stage), deadlines.deadline,
        responseDeadline, deadlines.sendBy, state.tokenCount, state.text, isRetryOrHedge });
    if (stageAt(stage).idempotent)
        setHedgeTimer(stage, number, now, out);
}

void Run::Impl::setHedgeTimer(StageIndex stage, AttemptNumber attempt, TimePoint now, Actions& out)
{
    const auto delay = policy.hedgeDelay(stageAt(stage));
    if (!delay || stages[stage].hedged)
        return;
    // A hedge only adds cost while much time remains, so it is also delayed by a fraction of the slack.
    const auto slack
        = std::max<Duration>(request.deadline - now - request.plan->criticalPath(stage, expectedTimes()), 0s);
    out.push_back(SetTimer { { request.id, TimerKind::Hedge, stage, attempt },
        now + *delay + fromSeconds(toSeconds(slack) * hedgeSlackFraction) });
}

void Run::Impl::cancel(StageIndex stage, Attempt& attempt, Actions& out)
{
    if (attempt.stateMachine.process(AttemptEvent::Cancel))
        out.push_back(CancelCall { attemptId(stage, attempt.number) });
}

void Run::Impl::cancelOthers(StageIndex stage, AttemptNumber winner, Actions& out)
{
    for (auto& it : stages[stage].attempts) {
        if (it.number != winner)
            cancel(stage, it, out);
    }
}

void Run::Impl::recordClaim(StageIndex stage, ClaimOutcome outcome, Payload answer, Actions& out)
{
    if (!std::exchange(stages[stage].claimed, false))
        return;
    out.push_back(CompleteClaim { request.id, stage, stageAt(stage).service, outcome, std::move(answer) });
}

void Run::Impl::complete(StageIndex stage, Payload result, TimePoint now, Actions& out)
{
    auto& state = stages[stage];
    state.phase = Phase::Done;
    state.result = result;
    recordClaim(stage, ClaimOutcome::Answered, result, out);
    if (finished)
        return;
    if (stage == request.plan->resultStage())
        finish(std::move(result), Reason::None, now, out);
    else
        startReadyStages(now, out);
}

bool Run::Impl::sideEffectPossible() const
{
    if (sideEffectInOtherRun)
        return true;
    for (StageIndex i = 0; i < stages.size(); ++i) {
        if (!stageAt(i).idempotent && stages[i].sideEffectPossible())
            return true;
    }
    return false;
}

void Run::Impl::finish(Payload answer, Reason reason, TimePoint now, Actions& out)
{
    finishWith(decideOutcome(std::move(answer), sideEffectPossible(), reason), now, out);
}

void Run::Impl::finishWith(Outcome outcome, TimePoint now, Actions& out)
{
    if (std::exchange(finished, true))
        return;
    for (StageIndex i = 0; i < stages.size(); ++i)
        abandonStage(i, now, out);
    out.push_back(Finish { request.id, std::move(outcome) });
}

void Run::Impl::abandonStage(StageIndex stage, TimePoint now, Actions& out)
{
    auto& state = stages[stage];
    if (stageAt(stage).idempotent) {
        for (auto& it : state.attempts)
            cancel(stage, it, out);
        return;
    }
    if (state.hasOpenAttempt())
        out.push_back(
            SetTimer { { request.id, TimerKind::Linger, stage, state.attempts.back().number }, now + lingerTimeout });
    else if (state.phase == Phase::Running)
        recordClaim(stage, state.sideEffectPossible() ? ClaimOutcome::Unknown : ClaimOutcome::NotStarted, nullptr, out);
}

void Run::Impl::retryOrFinish(StageIndex stage, CallFailure failure, TimePoint now, Actions& out)
{
    auto& state = stages[stage];
    if (state.hasOpenAttempt())
        return;
    const bool started = !neverStarted(failure);
    const bool allowed = stageAt(stage).idempotent ? failure != CallFailure::InvalidRequest : !started;
    const bool possible = allowed && state.attempts.size() < maxStageAttempts && !cannotFinishInTime(stage, now);
    if (!possible || !policy.tryAcquireRetry(stageAt(stage), started)) {
        finish(nullptr, reasonOf(failure), now, out);
        return;
    }
    ++counters.retries;
    if (state.tokenCount > 0)
        ++counters.resumes;
    dispatch(stage, true, now, out);
}

void Run::Impl::handleFailure(StageIndex stage, Attempt& attempt, CallFailure failure, TimePoint now, Actions& out)
{
    auto& state = stages[stage];
    if (state.streamingAttempt == attempt.number)
        state.streamingAttempt.reset();
    if (finished) {
        if (!stageAt(stage).idempotent && !state.hasOpenAttempt())
            recordClaim(
                stage, state.sideEffectPossible() ? ClaimOutcome::Unknown : ClaimOutcome::NotStarted, nullptr, out);
        return;
    }
    if (state.phase == Phase::Running)
        retryOrFinish(stage, failure, now, out);
}

void Run::Impl::appendTokens(
    StageIndex stage, Attempt& attempt, std::uint64_t skip, const std::vector<std::string>& tokens, Actions& out)
{
    auto& state = stages[stage];
    if (!state.streamingAttempt) {
        state.streamingAttempt = attempt.number;
        cancelOthers(stage, attempt.number, out);
    }
    EmitTokens emit { request.id, state.tokenCount, {} };
    for (auto i = skip; i < tokens.size(); ++i) {
        state.text += tokens[i];
        ++state.tokenCount;
        emit.tokens.push_back(tokens[i]);
    }
    const bool forwarded = request.stream && !finished && stage == request.plan->resultStage();
    if (forwarded && !emit.tokens.empty())
        out.push_back(std::move(emit));
}

void Run::Impl::onHedgeTimer(const TimerId& id, TimePoint now, Actions& out)
{
    auto& state = stages[id.stage];
    const auto* attempt = state.findAttempt(id.attempt);
    const bool useful = attempt != nullptr && attempt->stateMachine.isOpen() && state.phase == Phase::Running
        && !state.streamingAttempt;
    if (finished || !useful || !stageAt(id.stage).idempotent || state.hedged
        || state.attempts.size() >= maxStageAttempts || cannotFinishInTime(id.stage, now))
        return;
    if (!policy.tryAcquireRetry(stageAt(id.stage), true))
        return;
    state.hedged = true;
    ++counters.hedges;
    dispatch(id.stage, true, now, out);
}

void Run::Impl::onProgressTimer(const TimerId& id, TimePoint now, Actions& out)
{
    auto& state = stages[id.stage];
    auto* attempt = state.findAttempt(id.attempt);
    if (finished || attempt == nullptr || !attempt->stateMachine.isOpen())
        return;
    const auto due = attempt->lastProgress + policy.progressTimeout(stageAt(id.stage));
    if (due > now) {
        out.push_back(SetTimer { id, due });
        return;
    }
    attempt->stateMachine.process(AttemptEvent::Failure);
    out.push_back(CancelCall { attemptId(id.stage, id.attempt) });
    handleFailure(id.stage, *attempt, CallFailure::TimedOut, now, out);
}

void Run::Impl::onLingerTimer(const TimerId& id, Actions& out)
{
    auto& state = stages[id.stage];
    for (auto& it : state.attempts)
        cancel(id.stage, it, out);
    recordClaim(id.stage, ClaimOutcome::Unknown, nullptr, out);
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
    m_impl->startReadyStages(now, out);
}

void Run::onSent(const AttemptId& id)
{
    auto* stage = m_impl->findStage(id);
    auto* attempt = stage == nullptr ? nullptr : stage->findAttempt(id.attempt);
    if (attempt != nullptr)
        attempt->stateMachine.process(AttemptEvent::FirstByteSent);
}

void Run::onTokens(
    const AttemptId& id, std::uint64_t offset, const std::vector<std::string>& tokens, TimePoint now, Actions& out)
{
    auto* stage = m_impl->findStage(id);
    auto* attempt = stage == nullptr ? nullptr : stage->findAttempt(id.attempt);
    const bool fromOtherAttempt = stage != nullptr && stage->streamingAttempt && *stage->streamingAttempt != id.attempt;
    if (attempt == nullptr || fromOtherAttempt || !attempt->stateMachine.process(AttemptEvent::Progress)) {
        ++m_impl->counters.unmatchedResults;
        return;
    }
    const bool first = !stage->streamingAttempt;
    attempt->lastProgress = now;
    if (offset > stage->tokenCount) {
        attempt->stateMachine.process(AttemptEvent::Failure);
        out.push_back(CancelCall { id });
        m_impl->handleFailure(id.stage, *attempt, CallFailure::Truncated, now, out);
        return;
    }
    m_impl->appendTokens(id.stage, *attempt, stage->tokenCount - offset, tokens, out);
    if (first)
        out.push_back(SetTimer { { m_impl->request.id, TimerKind::Progress, id.stage, id.attempt },
            now + m_impl->policy.progressTimeout(m_impl->stageAt(id.stage)) });
}

bool Run::onStreamEnd(const AttemptId& id, std::uint64_t total, TimePoint now, Actions& out)
{
    auto* stage = m_impl->findStage(id);
    auto* attempt = stage == nullptr ? nullptr : stage->findAttempt(id.attempt);
    if (attempt == nullptr || !attempt->stateMachine.isOpen() || stage->phase != Phase::Running) {
        ++m_impl->counters.unmatchedResults;
        return true;
    }
    if (total != stage->tokenCount) {
        attempt->stateMachine.process(AttemptEvent::Failure);
        m_impl->handleFailure(id.stage, *attempt, CallFailure::Truncated, now, out);
        return false;
    }
    attempt->stateMachine.process(AttemptEvent::Answer);
    m_impl->cancelOthers(id.stage, id.attempt, out);
    m_impl->complete(id.stage, makePayload(stage->text), now, out);
    return true;
}

void Run::onAnswer(const AttemptId& id, Payload body, TimePoint now, Actions& out)
{
    auto* stage = m_impl->findStage(id);
    auto* attempt = stage == nullptr ? nullptr : stage->findAttempt(id.attempt);
    if (attempt == nullptr || stage->phase != Phase::Running || !body) {
        ++m_impl->counters.unmatchedResults;
        return;
    }
    const bool alreadyEnded = !attempt->stateMachine.process(AttemptEvent::Answer);
    if (alreadyEnded && (m_impl->finished || !attempt->stateMachine.sideEffectPossible())) {
        ++m_impl->counters.unmatchedResults;
        return;
    }
    m_impl->cancelOthers(id.stage, id.attempt, out);
    m_impl->complete(id.stage, std::move(body), now, out);
}

void Run::onFailure(const AttemptId& id, CallFailure failure, TimePoint now, Actions& out)
{
    auto* stage = m_impl->findStage(id);
    auto* attempt = stage == nullptr ? nullptr : stage->findAttempt(id.attempt);
    const auto event = neverStarted(failure) ? AttemptEvent::NotStarted : AttemptEvent::Failure;
    if (attempt == nullptr || !attempt->stateMachine.process(event))
        return;
    m_impl->handleFailure(id.stage, *attempt, failure, now, out);
}

void Run::onClaim(StageIndex stage, const ClaimResult& result, TimePoint now, Actions& out)
{
    auto& impl = *m_impl;
    if (stage >= impl.stages.size() || impl.stages[stage].phase != Phase::Claiming) {
        ++impl.counters.unmatchedResults;
        return;
    }
    auto& state = impl.stages[stage];
    state.phase = Phase::Running;
    if (result.state == ClaimState::Granted) {
        state.claimed = true;
        if (impl.finished)
            impl.recordClaim(stage, ClaimOutcome::NotStarted, nullptr, out);
        else if (impl.cannotFinishInTime(stage, now))
            impl.finish(nullptr, Reason::DeadlineExceeded, now, out);
        else
            impl.dispatch(stage, false, now, out);
        return;
    }
    if (result.state == ClaimState::Recorded) {
        impl.sideEffectInOtherRun = true;
        impl.complete(stage, result.answer, now, out);
        return;
    }
    impl.sideEffectInOtherRun
        = impl.sideEffectInOtherRun || result.state == ClaimState::Unknown || result.state == ClaimState::InProgress;
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

void Run::onCallerDisconnected(TimePoint now, Actions& out)
{
    m_impl->finish(nullptr, Reason::CallerDisconnected, now, out);
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
        [](const StageState& it) { return it.phase == Phase::Claiming || it.claimed || it.hasOpenAttempt(); });
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
