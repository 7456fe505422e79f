#pragma once

#include "foxtailwheel/base/Units.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace foxtailwheel::store {

/// @brief A row of the platform's table service.
struct Row {
    std::string key;
    std::string value;
    std::uint64_t version = 0; ///< Starts at 1 and increases with each write of the row.
};

/// @brief Precondition on a row; a transaction is applied only if all of its conditions hold.
struct Condition {
    std::string key;
    std::optional<std::uint64_t> version; ///< Expected version of the row; empty if the row must not exist.
};

/// @brief A write of a transaction.
struct Write {
    std::string key;
    std::optional<std::string> value; ///< Empty deletes the row.
};

/// @brief Writes that are applied atomically.
struct Transaction {
    std::vector<Condition> conditions;
    std::vector<Write> writes;
};

/// @brief Outcome of a transaction.
enum class TransactOutcome {
    Applied,
    ConditionFailed, ///< At least one condition did not hold; nothing was written.
    Ambiguous, ///< No conclusive response arrived; it may have been applied or may still be.
    NotApplied, ///< The transaction is known not to have been applied.
};

/// @brief Result of a transaction.
struct TransactResult {
    TransactOutcome outcome = TransactOutcome::NotApplied;
    std::vector<Row> conflicts; ///< Current rows whose conditions failed, as far as they exist.
};

/// @brief Result of a read.
struct ReadResult {
    bool succeeded = false; ///< False if the table service was unavailable or its response could not be parsed.
    std::vector<Row> rows; ///< At most one for `read`; in key order for `scan`.
};

/// @brief The platform's transactional table service.
class Table {
public:
    virtual ~Table() = default;
    /// @brief Applies a transaction; `done` is called exactly once, shortly after `deadline` at the latest.
    virtual void transact(Transaction transaction, TimePoint deadline, std::function<void(TransactResult)> done) = 0;
    /// @brief Reads one row.
    virtual void read(std::string key, TimePoint deadline, std::function<void(ReadResult)> done) = 0;
    /// @brief Reads up to `limit` rows in key order whose keys start with `prefix` and sort after `after`.
    virtual void scan(std::string prefix, std::string after, std::size_t limit, TimePoint deadline,
        std::function<void(ReadResult)> done)
        = 0;
};

} // namespace foxtailwheel::store
