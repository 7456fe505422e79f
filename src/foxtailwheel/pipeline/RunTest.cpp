#include "foxtailwheel/pipeline/Run.h"

#include "foxtailwheel/testing/TestDeclarations.h"

#include <criterion/criterion.h>

using namespace foxtailwheel;
using namespace std::chrono_literals;
using pipeline::AcquireClaim;
using pipeline::Actions;
using pipeline::AttemptId;
using pipeline::CallFailure;
using pipeline::ClaimState;
using pipeline::CompleteClaim;
using pipeline::EmitTokens;
using pipeline::Finish;
using pipeline::OutcomeKind;
using pipeline::Reason;
using pipeline::SetTimer;
using pipeline::StartCall;
using pipeline::TimerKind;

namespace {

constexpr TimePoint start { 1h };

class FixedPolicy final : public pipeline::RunPolicy {
public:
    Duration expectedTime(const pipeline::Stage&) const override { return 10ms; }
    std::optional<Duration> hedgeDelay(const pipeline::Stage&) const override { return 30ms; }
    Duration progressTimeout(const pipeline::Stage&) const override { return 100ms; }
    bool tryAcquireRetry(const pipeline::Stage&, bool) override { return retryBudget-- > 0; }

    int retryBudget = 10;
};

/// One run and the actions that it has emitted so far.
struct Fixture {
    explicit Fixture(const std::string& pipeline)
        : plan(std::make_shared<const pipeline::Plan>(
            pipeline::makePlan(*testing::smallDeployment(2), PipelineId(pipeline)).value()))
        , run({ RunId(7), plan, pipeline::makePayload("{}"), start + plan->deadline, true }, policy)
    {
        run.start(start, actions);
    }

    /// Returns the last action of type `T`, or null.
    template <class T> const T* last() const
    {
        for (auto it = actions.rbegin(); it != actions.rend(); ++it) {
            if (const auto* found = std::get_if<T>(&*it))
                return found;
        }
        return nullptr;
    }

    template <class T> std::size_t countOf() const
    {
        std::size_t n = 0;
        for (const auto& it : actions)
            n += std::holds_alternative<T>(it) ? 1 : 0;
        return n;
    }

    AttemptId call() const { return last<StartCall>()->id; }
    void answer(const std::string& body) { run.onAnswer(call(), pipeline::makePayload(body), start, actions); }
    void grantClaim() { run.onClaim(0, { ClaimState::Granted, nullptr }, start, actions); }
    /// Answers the stages that precede the stream.
    void advanceToStream()
    {
        answer("\"encoded\"");
        answer("\"found\"");
    }

    FixedPolicy policy;
    std::shared_ptr<const pipeline::Plan> plan;
    pipeline::Run run;
    Actions actions;
};

} // namespace

Test(Run, stageInputContainsResultsOfDependencies)
{
    Fixture it("answer");
    it.answer("\"encoded\"");
    const auto* call = it.last<StartCall>();
    cr_assert_eq(call->id.stage, 1U);
    cr_assert_eq(call->input.dependencyResults.size(), 1U);
    cr_assert_eq(*call->input.dependencyResults.front().result, std::string("\"encoded\""));
}

Test(Run, brokenStreamResumesAtTheLastToken)
{
    Fixture it("answer");
    it.advanceToStream();
    const auto first = it.call();
    it.run.onTokens(first, 0, { "a", "b" }, start, it.actions);
    it.run.onFailure(first, CallFailure::ConnectionLost, start, it.actions);
    const auto* resumed = it.last<StartCall>();
    cr_assert_eq(resumed->resumeFrom, 2U);
    cr_assert_eq(resumed->textSoFar, std::string("ab"));
    it.run.onTokens(resumed->id, 1, { "b", "c" }, start, it.actions);
    cr_assert_eq(it.last<EmitTokens>()->offset, 2U);
    cr_assert_eq(it.last<EmitTokens>()->tokens.size(), 1U);
    it.run.onStreamEnd(it.call(), 3, start, it.actions);
    cr_assert_eq(*it.last<Finish>()->outcome.answer, std::string("abc"));
}

Test(Run, tokensOfAFailedAttemptAreDropped)
{
    Fixture it("answer");
    it.advanceToStream();
    const auto first = it.call();
    it.run.onTokens(first, 0, { "a" }, start, it.actions);
    it.run.onFailure(first, CallFailure::ConnectionLost, start, it.actions);
    it.run.onTokens(first, 1, { "x" }, start, it.actions);
    cr_assert_eq(it.countOf<EmitTokens>(), 1U);
    cr_assert_eq(it.run.counters().unmatchedResults, 1U);
}

Test(Run, truncatedStreamIsResumed)
{
    Fixture it("answer");
    it.advanceToStream();
    it.run.onTokens(it.call(), 0, { "a" }, start, it.actions);
    it.run.onStreamEnd(it.call(), 5, start, it.actions);
    cr_assert_eq(it.countOf<Finish>(), 0U);
    cr_assert_eq(it.last<StartCall>()->resumeFrom, 1U);
}

Test(Run, stalledStreamIsResumedAfterTheProgressTimeout)
{
    Fixture it("answer");
    it.advanceToStream();
    const auto first = it.call();
    it.run.onTokens(first, 0, { "a" }, start, it.actions);
    const auto timer = *it.last<SetTimer>();
    cr_assert(timer.id.kind == TimerKind::Progress);
    it.run.onTimer(timer.id, timer.at, it.actions);
    cr_assert(it.call() != first);
    cr_assert_eq(it.last<StartCall>()->resumeFrom, 1U);
}

Test(Run, firstHedgedAnswerWinsAndTheOtherAttemptIsCancelled)
{
    Fixture it("answer");
    const auto first = it.call();
    it.run.onTimer({ RunId(7), TimerKind::Hedge, 0, first.attempt }, start + 600ms, it.actions);
    const auto second = it.call();
    cr_assert(second != first);
    it.run.onAnswer(second, pipeline::makePayload("1"), start + 600ms, it.actions);
    cr_assert(it.last<pipeline::CancelCall>()->id == first);
    it.run.onAnswer(first, pipeline::makePayload("2"), start + 600ms, it.actions);
    cr_assert_eq(it.run.counters().unmatchedResults, 1U);
}

Test(Run, runFailsWithoutRetryBudget)
{
    Fixture it("answer");
    it.policy.retryBudget = 0;
    it.run.onFailure(it.call(), CallFailure::ServerError, start, it.actions);
    cr_assert(it.last<Finish>()->outcome.kind == OutcomeKind::NotRun);
    cr_assert(it.last<Finish>()->outcome.reason == Reason::BackendFailed);
}

Test(Run, callThatCannotFinishInTimeIsNotSent)
{
    Fixture it("answer");
    it.run.onAnswer(it.call(), pipeline::makePayload("1"), start + 1995ms, it.actions);
    cr_assert_eq(it.countOf<StartCall>(), 1U);
    cr_assert(it.last<Finish>()->outcome.reason == Reason::DeadlineExceeded);
}

Test(Run, nonIdempotentCallIsNotSentWithoutAClaim)
{
    Fixture it("book");
    cr_assert_eq(it.countOf<AcquireClaim>(), 1U);
    it.run.onClaim(0, { ClaimState::Unavailable, nullptr }, start, it.actions);
    cr_assert_eq(it.countOf<StartCall>(), 0U);
    cr_assert(it.last<Finish>()->outcome.kind == OutcomeKind::NotRun);
}

Test(Run, nonIdempotentCallIsNeitherHedgedNorRetried)
{
    Fixture it("book");
    it.grantClaim();
    const auto call = it.call();
    it.run.onSent(call);
    it.run.onTimer({ RunId(7), TimerKind::Hedge, 0, call.attempt }, start + 900ms, it.actions);
    it.run.onFailure(call, CallFailure::ConnectionLost, start, it.actions);
    cr_assert_eq(it.countOf<StartCall>(), 1U);
    cr_assert(it.last<Finish>()->outcome.kind == OutcomeKind::Unknown);
    cr_assert(it.last<CompleteClaim>()->outcome == pipeline::ClaimOutcome::Unknown);
}

Test(Run, refusedNonIdempotentCallEndsAsNotRun)
{
    Fixture it("book");
    it.grantClaim();
    it.policy.retryBudget = 0;
    it.run.onSent(it.call());
    it.run.onFailure(it.call(), CallFailure::Refused, start, it.actions);
    cr_assert(it.last<Finish>()->outcome.kind == OutcomeKind::NotRun);
    cr_assert(it.last<CompleteClaim>()->outcome == pipeline::ClaimOutcome::NotStarted);
    cr_assert(it.run.closed());
}

Test(Run, lateAnswerOfANonIdempotentCallIsRecordedAfterTheReply)
{
    Fixture it("book");
    it.grantClaim();
    it.run.onTimer({ RunId(7), TimerKind::Deadline, 0, {} }, start + 1s, it.actions);
    cr_assert(it.last<Finish>()->outcome.kind == OutcomeKind::Unknown);
    cr_assert(!it.run.closed());
    it.run.onAnswer(it.call(), pipeline::makePayload("booked"), start + 2s, it.actions);
    cr_assert(it.last<CompleteClaim>()->outcome == pipeline::ClaimOutcome::Answered);
    cr_assert_eq(it.countOf<Finish>(), 1U);
    cr_assert(it.run.closed());
}

Test(Run, claimGrantedAfterTheDeadlineIsReleased)
{
    Fixture it("book");
    it.run.onTimer({ RunId(7), TimerKind::Deadline, 0, {} }, start + 1s, it.actions);
    cr_assert(it.last<Finish>()->outcome.kind == OutcomeKind::NotRun);
    it.grantClaim();
    cr_assert_eq(it.countOf<StartCall>(), 0U);
    cr_assert(it.last<CompleteClaim>()->outcome == pipeline::ClaimOutcome::NotStarted);
    cr_assert(it.run.closed());
}

Test(Run, callerDisconnectCancelsCalls)
{
    Fixture it("answer");
    it.run.onCallerDisconnected(start, it.actions);
    cr_assert_eq(it.countOf<pipeline::CancelCall>(), 1U);
    cr_assert(it.run.closed());
}

Test(Plan, criticalPathIsTheLongestBranch)
{
    const auto declared = testing::smallDeployment(1);
    const auto plan = pipeline::makePlan(*declared, PipelineId("answer")).value();
    const auto typical = [](const pipeline::Stage& it) { return it.typicalTime; };
    cr_assert(plan.criticalPath(typical) == 30ms);
    cr_assert(plan.criticalPath(2, typical) == 10ms);
    cr_assert(pipeline::makePlan(*declared, PipelineId("none")).error().code == make_error_code(Errc::NotFound));
}
