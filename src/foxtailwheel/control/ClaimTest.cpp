#include "foxtailwheel/control/Claim.h"

#include <criterion/criterion.h>

using namespace foxtailwheel;
using namespace std::chrono_literals;
using control::ClaimProgress;
using control::ClaimRow;
using control::ClaimStateMachine;
using control::ClaimStep;
using pipeline::ClaimState;
using store::TransactOutcome;

namespace {

constexpr WallTime now { 1000s };

ClaimRow makeRow(const std::string& token, ClaimProgress progress = ClaimProgress::Claimed)
{
    return { AttemptToken(token), "hash", InstanceId("i"), progress, "answer", now + 10s, now + 100s };
}

store::TransactResult conflictWith(const ClaimRow& row)
{
    return { TransactOutcome::ConditionFailed, { { "key", control::encodeClaimRow(row), 3 } } };
}

ClaimState stateAgainst(const ClaimRow& row, WallTime at = now)
{
    ClaimStateMachine machine("key", makeRow("mine"));
    machine.onInsert(conflictWith(row), at);
    cr_assert(machine.step() == ClaimStep::Done);
    return machine.result().state;
}

} // namespace

Test(Claim, rowsRoundTripThroughJson)
{
    const auto row = makeRow("t", ClaimProgress::Answered);
    const auto read = control::decodeClaimRow(control::encodeClaimRow(row));
    cr_assert(read.has_value());
    cr_assert(read->token == row.token && read->answer == row.answer && read->inProgressUntil == row.inProgressUntil);
    cr_assert(!control::decodeClaimRow("{}").has_value());
    cr_assert(!control::decodeClaimRow("not json").has_value());
}

Test(Claim, rowKeysAreUnambiguous)
{
    const serving::ClaimKey key { ClientAccountId("a"), ServiceId("s"), IdempotencyKey("k") };
    const serving::ClaimKey other { ClientAccountId("a/s"), ServiceId(""), IdempotencyKey("k") };
    cr_assert(control::claimRowKey(key) != control::claimRowKey(other));
}

Test(Claim, grantsAfterAppliedInsert)
{
    ClaimStateMachine machine("key", makeRow("mine"));
    machine.onInsert({ TransactOutcome::Applied, {} }, now);
    cr_assert(machine.result().state == ClaimState::Granted);
}

Test(Claim, distinguishesStatesOfAnExistingClaim)
{
    cr_assert(stateAgainst(makeRow("other")) == ClaimState::InProgress);
    cr_assert(stateAgainst(makeRow("other"), now + 11s) == ClaimState::Unknown);
    cr_assert(stateAgainst(makeRow("other", ClaimProgress::Answered)) == ClaimState::Recorded);
    cr_assert(stateAgainst(makeRow("other", ClaimProgress::Unknown)) == ClaimState::Unknown);
    auto reused = makeRow("other", ClaimProgress::Answered);
    reused.bodyHash = "another body";
    cr_assert(stateAgainst(reused) == ClaimState::KeyReused);
}

Test(Claim, readsBackAfterLostResponse)
{
    ClaimStateMachine machine("key", makeRow("mine"));
    machine.onInsert({ TransactOutcome::Ambiguous, {} }, now);
    cr_assert(machine.step() == ClaimStep::ReadBack);
    machine.onRead({ true, { { "key", control::encodeClaimRow(makeRow("mine")), 1 } } }, now);
    cr_assert(machine.result().state == ClaimState::Granted);
}

Test(Claim, recognizesOwnInsertAppliedLate)
{
    ClaimStateMachine machine("key", makeRow("mine"));
    machine.onInsert({ TransactOutcome::Ambiguous, {} }, now);
    machine.onRead({ true, {} }, now);
    cr_assert(machine.step() == ClaimStep::Insert);
    machine.onInsert(conflictWith(makeRow("mine")), now);
    cr_assert(machine.result().state == ClaimState::Granted);
}

Test(Claim, isUnavailableWithoutTheTable)
{
    ClaimStateMachine machine("key", makeRow("mine"));
    machine.onInsert({ TransactOutcome::NotApplied, {} }, now);
    cr_assert(machine.step() == ClaimStep::Insert);
    machine.onTimeout();
    cr_assert(machine.result().state == ClaimState::Unavailable);
    cr_assert(!machine.mayHaveInserted());
}

Test(Claim, outcomeIsConditionalOnTheRowVersion)
{
    const auto transaction = control::claimOutcomeTransaction(
        "key", makeRow("mine"), 7, pipeline::ClaimOutcome::Answered, pipeline::makePayload("booked"));
    cr_assert_eq(*transaction.conditions.front().version, 7U);
    const auto row = control::decodeClaimRow(*transaction.writes.front().value);
    cr_assert(row->progress == ClaimProgress::Answered && row->answer == "booked");
    const auto released
        = control::claimOutcomeTransaction("key", makeRow("mine"), 7, pipeline::ClaimOutcome::NotStarted, nullptr);
    cr_assert(!released.writes.front().value.has_value());
}
