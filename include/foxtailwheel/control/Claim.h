#pragma once

#include "foxtailwheel/base/Ids.h"
#include "foxtailwheel/base/Units.h"
#include "foxtailwheel/pipeline/Actions.h"
#include "foxtailwheel/serving/Dispatcher.h"
#include "foxtailwheel/store/Table.h"

#include <optional>
#include <string>

namespace foxtailwheel::control {

/// @brief Progress of a claimed call.
enum class ClaimProgress { Claimed, Answered, Unknown };

/// @brief Row of a claim in the table.
struct ClaimRow {
    AttemptToken token; ///< The attempt that inserted the row.
    std::string bodyHash; ///< SHA-256 of the caller's body.
    InstanceId holder;
    ClaimProgress progress = ClaimProgress::Claimed;
    std::string answer; ///< Set if `progress` is `Answered`.
    WallTime inProgressUntil {}; ///< After this time the outcome of a claim without a record stays unknown.
    WallTime deleteAfter {}; ///< The row may be deleted after this time.
};

/// @brief Retention of a claim row. A key is guaranteed to run at most once only while its row exists.
constexpr std::chrono::hours claimRetention { 7 * 24 };

/// @brief Key of a claim's row; contains a hash, which distributes the rows over the table's partitions.
std::string claimRowKey(const serving::ClaimKey& key);
/// @brief Encodes a row as JSON.
std::string encodeClaimRow(const ClaimRow& row);
/// @brief Decodes a row; empty if the text is not a valid row.
std::optional<ClaimRow> decodeClaimRow(const std::string& text);

/// @brief The next operation on the table.
enum class ClaimStep { Insert, ReadBack, Done };

/// @brief State machine of one claim; performs no I/O.
///
/// Inserts the row on the condition that it does not exist. If the response is lost, the row is read back and the
/// tokens are compared. If the row is absent then, the insert is retried with the same token, so that a first insert
/// that is applied late is recognized as this attempt's own.
class ClaimStateMachine {
public:
    /// @param requestedRow The row to insert, with a new token.
    ClaimStateMachine(std::string key, ClaimRow requestedRow);

    /// @brief The next step.
    ClaimStep step() const { return m_step; }
    /// @brief The transaction of an `Insert` step.
    store::Transaction insertTransaction() const;
    /// @brief Key of the row, for a `ReadBack` step.
    const std::string& key() const { return m_key; }
    const ClaimRow& requestedRow() const { return m_requestedRow; }
    /// @brief Handles the response to an `Insert` step.
    void onInsert(const store::TransactResult& result, WallTime now);
    /// @brief Handles the response to a `ReadBack` step.
    void onRead(const store::ReadResult& result, WallTime now);
    /// @brief Ends the claim at its deadline; the result is `Unavailable` unless it is already known.
    void onTimeout();
    /// @brief The result; valid once `step` is `Done`.
    const pipeline::ClaimResult& result() const { return m_result; }
    /// @brief True if an insert of this attempt may have been applied or may still be applied.
    bool mayHaveInserted() const { return m_mayHaveInserted; }

private:
    void evaluateExistingRow(const store::Row& row, WallTime now);
    void finish(pipeline::ClaimState state, pipeline::Payload answer = nullptr);

    std::string m_key;
    ClaimRow m_requestedRow;
    ClaimStep m_step = ClaimStep::Insert;
    bool m_mayHaveInserted = false;
    pipeline::ClaimResult m_result;
};

/// @brief Transaction that records the outcome of a claimed call; conditional on the row's version.
store::Transaction claimOutcomeTransaction(const std::string& key, const ClaimRow& held, std::uint64_t version,
    pipeline::ClaimOutcome outcome, const pipeline::Payload& answer);

} // namespace foxtailwheel::control
