#pragma once

#include "foxtailwheel/base/Units.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace foxtailwheel::store {

/// @brief One row of the platform's table service.
struct Row {
    std::string key;
    std::string value;
    std::uint64_t version = 0; ///< Grows with each write of the row, from 1.
};

/// @brief What must hold of a row for a transaction to be applied.
struct Condition {
    std::string key;
    std::optional<std::uint64_t> version; ///< The row's version; empty where the row must be absent.
};

/// @brief One write of a transaction.
struct Write {
    std::string key;
    std::optional<std::string> value; ///< Empty deletes the row.
};

/// @brief Writes that are applied all or not at all.
struct Transaction {
    std::vector<Condition> conditions;
    std::vector<Write> writes;
};

/// @brief How a transaction ended.
enum class TransactEnd {
    Applied,
    ConditionFailed,
    Ambiguous, ///< The answer was lost; it may have been applied or may yet be.
    NotApplied, ///< It certainly was not applied.
};

/// @brief Outcome of a transaction.
struct TransactResult {
    TransactEnd end = TransactEnd::NotApplied;
    std::vector<Row> conflicts; ///< The rows whose conditions failed, where they exist.
};

/// @brief Outcome of a read.
struct ReadResult {
    bool answered = false; ///< False where the table could not be asked.
    std::vector<Row> rows; ///< One or none for `read`; in the order of their keys for `scan`.
};

/// @brief The platform's transactional table service.
class Table {
public:
    virtual ~Table() = default;
    /// @brief Applies a transaction; `done` is called once, at the latest a little after `deadline`.
    virtual void transact(Transaction transaction, TimePoint deadline, std::function<void(TransactResult)> done) = 0;
    /// @brief Reads one row.
    virtual void read(std::string key, TimePoint deadline, std::function<void(ReadResult)> done) = 0;
    /// @brief Reads up to `limit` rows whose keys begin with `prefix` and come after `after`.
    virtual void scan(std::string prefix, std::string after, std::size_t limit, TimePoint deadline,
        std::function<void(ReadResult)> done)
        = 0;
};

} // namespace foxtailwheel::store
