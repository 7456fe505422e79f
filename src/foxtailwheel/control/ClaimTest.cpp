#include "foxtailwheel/control/Claim.h"

#include <criterion/criterion.h>

using namespace foxtailwheel;
using namespace std::chrono_literals;
using control::ClaimMachine;
using control::ClaimProgress;
using control::ClaimRow;
using control::ClaimStep;
using pipeline::ClaimState;
using store::TransactEnd;

namespace {

constexpr WallTime now { 1000s };

ClaimRow rowOf(const std::string& token, ClaimProgress progress = ClaimProgress::Claimed)
{
    return { AttemptToken(token), "hash", InstanceId("i"), progress, "answer", now + 10s, now + 100s };
}

store::TransactResult conflictWith(const ClaimRow& row)
{
    return { TransactEnd::ConditionFailed, { { "key", control::encodeClaimRow(row), 3 } } };
}

ClaimState stateAgainst(const ClaimRow& row, WallTime at = now)
{
    ClaimMachine machine("key", rowOf("mine"));
    machine.onInsert(conflictWith(row), at);
    cr_assert(machine.step() == ClaimStep::Done);
    return machine.result().state;
}

} // namespace

Test(Claim, rowsSurviveTheirText)
{
    const auto row = rowOf("t", ClaimProgress::Answered);
    const auto read = control::decodeClaimRow(control::encodeClaimRow(row));
    cr_assert(read.has_value());
    cr_assert(read->token == row.token && read->answer == row.answer && read->heldUntil == row.heldUntil);
    cr_assert(!control::decodeClaimRow("{}").has_value());
    cr_assert(!control::decodeClaimRow("not json").has_value());
}

Test(Claim, keysOfDifferentEffectsDiffer)
{
    const serving::ClaimKey key { ClientAccountId("a"), ServiceId("s"), IdempotencyKey("k") };
    const serving::ClaimKey other { ClientAccountId("a/s"), ServiceId(""), IdempotencyKey("k") };
    cr_assert(control::claimRowKey(key) != control::claimRowKey(other));
}

Test(Claim, anAppliedInsertGrants)
{
    ClaimMachine machine("key", rowOf("mine"));
    machine.onInsert({ TransactEnd::Applied, {} }, now);
    cr_assert(machine.result().state == ClaimState::Granted);
}

Test(Claim, anotherHolderIsToldApart)
{
    cr_assert(stateAgainst(rowOf("other")) == ClaimState::InProgress);
    cr_assert(stateAgainst(rowOf("other"), now + 11s) == ClaimState::Unknown);
    cr_assert(stateAgainst(rowOf("other", ClaimProgress::Answered)) == ClaimState::Recorded);
    cr_assert(stateAgainst(rowOf("other", ClaimProgress::Unknown)) == ClaimState::Unknown);
    auto reused = rowOf("other", ClaimProgress::Answered);
    reused.bodyHash = "another body";
    cr_assert(stateAgainst(reused) == ClaimState::KeyReused);
}

Test(Claim, aLostAnswerIsReadBack)
{
    ClaimMachine machine("key", rowOf("mine"));
    machine.onInsert({ TransactEnd::Ambiguous, {} }, now);
    cr_assert(machine.step() == ClaimStep::ReadBack);
    machine.onRead({ true, { { "key", control::encodeClaimRow(rowOf("mine")), 1 } } }, now);
    cr_assert(machine.result().state == ClaimState::Granted);
}

Test(Claim, anInsertThatLandsLateIsItsOwn)
{
    ClaimMachine machine("key", rowOf("mine"));
    machine.onInsert({ TransactEnd::Ambiguous, {} }, now);
    machine.onRead({ true, {} }, now);
    cr_assert(machine.step() == ClaimStep::Insert);
    machine.onInsert(conflictWith(rowOf("mine")), now);
    cr_assert(machine.result().state == ClaimState::Granted);
}

Test(Claim, withoutTheTableThereIsNoClaim)
{
    ClaimMachine machine("key", rowOf("mine"));
    machine.onInsert({ TransactEnd::NotApplied, {} }, now);
    cr_assert(machine.step() == ClaimStep::Insert);
    machine.expire();
    cr_assert(machine.result().state == ClaimState::Unavailable);
    cr_assert(!machine.mayHold());
}

Test(Claim, aRecordIsWrittenOnlyOverItsOwnVersion)
{
    const auto transaction
        = control::claimRecord("key", rowOf("mine"), 7, pipeline::ClaimEnd::Answered, pipeline::payloadOf("booked"));
    cr_assert_eq(*transaction.conditions.front().version, 7U);
    const auto row = control::decodeClaimRow(*transaction.writes.front().value);
    cr_assert(row->progress == ClaimProgress::Answered && row->answer == "booked");
    const auto released = control::claimRecord("key", rowOf("mine"), 7, pipeline::ClaimEnd::NotStarted, nullptr);
    cr_assert(!released.writes.front().value.has_value());
}
