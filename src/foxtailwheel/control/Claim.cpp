#include "foxtailwheel/control/Claim.h"

#include "foxtailwheel/base/Hash.h"
#include "foxtailwheel/base/Json.h"

#include <algorithm>
#include <array>

namespace foxtailwheel::control {

namespace {

    using nlohmann::json;
    using pipeline::ClaimState;
    using store::TransactOutcome;

    constexpr std::array<std::string_view, 3> progressNames { "claimed", "answered", "unknown" };

    std::uint64_t toMilliseconds(WallTime t)
    {
        return static_cast<std::uint64_t>(t.time_since_epoch().count());
    }

    WallTime fromMilliseconds(std::uint64_t n)
    {
        return WallTime(std::chrono::milliseconds(n));
    }

} // namespace

std::string claimRowKey(const serving::ClaimKey& key)
{
    const auto text = json { key.account.value(), key.service.value(), key.key.value() }.dump();
    return "claim/" + sha256Hex(text);
}

std::string encodeClaimRow(const ClaimRow& row)
{
    return json {
        { "token", row.token.value() },
        { "body_hash", row.bodyHash },
        { "holder", row.holder.value() },
        { "progress", progressNames.at(static_cast<std::size_t>(row.progress)) },
        { "answer", row.answer },
        { "held_until_ms", toMilliseconds(row.inProgressUntil) },
        { "kept_until_ms", toMilliseconds(row.deleteAfter) },
    }
        .dump();
}

std::optional<ClaimRow> decodeClaimRow(const std::string& text)
{
    const auto node = parseJson(text);
    const auto progress = textAt(node, "progress");
    const auto name = std::find(progressNames.begin(), progressNames.end(), progress);
    if (textAt(node, "token").empty() || name == progressNames.end())
        return std::nullopt;
    ClaimRow row;
    row.token = AttemptToken(textAt(node, "token"));
    row.bodyHash = textAt(node, "body_hash");
    row.holder = InstanceId(textAt(node, "holder"));
    row.progress = static_cast<ClaimProgress>(name - progressNames.begin());
    row.answer = textAt(node, "answer");
    row.inProgressUntil = fromMilliseconds(unsignedAt(node, "held_until_ms"));
    row.deleteAfter = fromMilliseconds(unsignedAt(node, "kept_until_ms"));
    return row;
}

ClaimStateMachine::ClaimStateMachine(std::string key, ClaimRow requestedRow)
    : m_key(std::move(key))
    , m_requestedRow(std::move(requestedRow))
{
}

store::Transaction ClaimStateMachine::insertTransaction() const
{
    return { { { m_key, std::nullopt } }, { { m_key, encodeClaimRow(m_requestedRow) } } };
}

void ClaimStateMachine::finish(ClaimState state, pipeline::Payload answer)
{
    m_step = ClaimStep::Done;
    m_result = { state, std::move(answer) };
}

void ClaimStateMachine::evaluateExistingRow(const store::Row& row, WallTime now)
{
    const auto held = decodeClaimRow(row.value);
    if (!held) {
        finish(ClaimState::Unknown);
        return;
    }
    if (held->token == m_requestedRow.token) {
        m_mayHaveInserted = true;
        finish(ClaimState::Granted);
        return;
    }
    m_mayHaveInserted = false;
    if (held->bodyHash != m_requestedRow.bodyHash)
        finish(ClaimState::KeyReused);
    else if (held->progress == ClaimProgress::Answered)
        finish(ClaimState::Recorded, pipeline::makePayload(held->answer));
    else if (held->progress == ClaimProgress::Claimed && now < held->inProgressUntil)
        finish(ClaimState::InProgress);
    else
        finish(ClaimState::Unknown);
}

void ClaimStateMachine::onInsert(const store::TransactResult& result, WallTime now)
{
    if (m_step != ClaimStep::Insert)
        return;
    switch (result.outcome) {
    case TransactOutcome::Applied:
        m_mayHaveInserted = true;
        finish(ClaimState::Granted);
        return;
    case TransactOutcome::ConditionFailed:
        if (result.conflicts.empty())
            m_step = ClaimStep::ReadBack;
        else
            evaluateExistingRow(result.conflicts.front(), now);
        return;
    case TransactOutcome::Ambiguous:
        m_mayHaveInserted = true;
        m_step = ClaimStep::ReadBack;
        return;
    case TransactOutcome::NotApplied:
        return;
    }
}

void ClaimStateMachine::onRead(const store::ReadResult& result, WallTime now)
{
    if (m_step != ClaimStep::ReadBack || !result.succeeded)
        return;
    if (result.rows.empty())
        m_step = ClaimStep::Insert;
    else
        evaluateExistingRow(result.rows.front(), now);
}

void ClaimStateMachine::onTimeout()
{
    if (m_step != ClaimStep::Done)
        finish(ClaimState::Unavailable);
}

store::Transaction claimOutcomeTransaction(const std::string& key, const ClaimRow& held, std::uint64_t version,
    pipeline::ClaimOutcome outcome, const pipeline::Payload& answer)
{
    store::Transaction transaction { { { key, version } }, {} };
    if (outcome == pipeline::ClaimOutcome::NotStarted) {
        transaction.writes.push_back({ key, std::nullopt });
        return transaction;
    }
    auto row = held;
    row.progress = outcome == pipeline::ClaimOutcome::Answered ? ClaimProgress::Answered : ClaimProgress::Unknown;
    row.answer = answer ? *answer : std::string();
    transaction.writes.push_back({ key, encodeClaimRow(row) });
    return transaction;
}

} // namespace foxtailwheel::control
