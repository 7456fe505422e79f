#pragma once

#include "foxtailwheel/base/Ids.h"
#include "foxtailwheel/base/Units.h"
#include "foxtailwheel/pipeline/Actions.h"
#include "foxtailwheel/serving/Dispatcher.h"
#include "foxtailwheel/store/Table.h"

#include <optional>
#include <string>

namespace foxtailwheel::control {

/// @brief How far a claimed call got.
enum class ClaimProgress { Claimed, Answered, Unknown };

/// @brief The row of one claim in the table.
struct ClaimRow {
    AttemptToken token; ///< The attempt that inserted the row.
    std::string bodyHash; ///< SHA-256 of the caller's body.
    InstanceId holder;
    ClaimProgress progress = ClaimProgress::Claimed;
    std::string answer; ///< Present where `progress` is `Answered`.
    WallTime heldUntil {}; ///< After this a claim without a record is unknown for good.
    WallTime keptUntil {}; ///< After this the row may be deleted.
};

/// @brief Time that a claim row is kept, and with it the promise that its key runs at most once.
constexpr std::chrono::hours claimLife { 7 * 24 };

/// @brief Key of a claim's row; it begins with a hash, so that rows spread over the table's partitions.
std::string claimRowKey(const serving::ClaimKey& key);
/// @brief Row as text.
std::string encodeClaimRow(const ClaimRow& row);
/// @brief Text as row; empty where it is not one.
std::optional<ClaimRow> decodeClaimRow(const std::string& text);

/// @brief What to ask of the table next.
enum class ClaimStep { Insert, ReadBack, Done };

/// @brief Decides one claim from what the table answers; no I/O.
///
/// Insert under the condition that no row is there; a lost answer is resolved by reading the row back and comparing
/// tokens. Where the row is absent after a lost answer the insert is repeated with the same token, so that a first
/// insert which lands late is found to be its own.
class ClaimMachine {
public:
    /// @param wanted The row to insert, with a fresh token.
    ClaimMachine(std::string key, ClaimRow wanted);

    /// @brief The step that is due.
    ClaimStep step() const { return m_step; }
    /// @brief The transaction of an `Insert` step.
    store::Transaction insertion() const;
    /// @brief Key of the row, for a `ReadBack` step.
    const std::string& key() const { return m_key; }
    const ClaimRow& wanted() const { return m_wanted; }
    /// @brief Takes the answer to an `Insert` step.
    void onInsert(const store::TransactResult& result, WallTime now);
    /// @brief Takes the answer to a `ReadBack` step.
    void onRead(const store::ReadResult& result, WallTime now);
    /// @brief The time is over; the result is `Unavailable` unless it was decided before.
    void expire();
    /// @brief The result, once `step` is `Done`.
    const pipeline::ClaimResult& result() const { return m_result; }
    /// @brief True where an insert of this attempt may have been applied or may yet be.
    bool mayHold() const { return m_mayHold; }

private:
    void judge(const store::Row& row, WallTime now);
    void finish(pipeline::ClaimState state, pipeline::Payload answer = nullptr);

    std::string m_key;
    ClaimRow m_wanted;
    ClaimStep m_step = ClaimStep::Insert;
    bool m_mayHold = false;
    pipeline::ClaimResult m_result;
};

/// @brief The transaction that records how a claimed call ended; applied only while the row is the attempt's own.
store::Transaction claimRecord(const std::string& key, const ClaimRow& held, std::uint64_t version,
    pipeline::ClaimEnd end, const pipeline::Payload& answer);

} // namespace foxtailwheel::control
