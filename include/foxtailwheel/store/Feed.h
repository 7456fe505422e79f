#pragma once

#include "foxtailwheel/base/Units.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace foxtailwheel::store {

/// @brief One row of a followed table, or the news that it is gone.
struct FeedRow {
    std::string key;
    std::optional<std::string> value; ///< Empty where the row was deleted.

    friend bool operator==(const FeedRow&, const FeedRow&) = default;
};

/// @brief How a call of a feed ended.
enum class FeedEnd {
    Answered,
    HistoryLost, ///< Changes since the given version are no longer known; the table has to be read again.
    Unavailable, ///< The store could not be asked, or was too busy.
};

/// @brief Rows of a table, or its changes, as of one version.
struct FeedAnswer {
    FeedEnd end = FeedEnd::Unavailable;
    std::vector<FeedRow> rows;
    std::uint64_t version = 0; ///< Changes after it are still to be asked for.
    Duration storeTime {}; ///< The store's steady clock when it answered.

    friend bool operator==(const FeedAnswer&, const FeedAnswer&) = default;
};

/// @brief Follows the rows of tables.
class Feed {
public:
    using Done = std::function<void(FeedAnswer)>;

    virtual ~Feed() = default;
    /// @brief Reads all rows of a table as of one version.
    virtual void readAll(const std::string& table, TimePoint deadline, Done done) = 0;
    /// @brief Waits until the table has changed after version `after`, or for `wait`.
    virtual void changes(const std::string& table, std::uint64_t after, Duration wait, TimePoint deadline, Done done)
        = 0;
};

/// @brief Writes single rows without a condition.
class RowWriter {
public:
    virtual ~RowWriter() = default;
    /// @brief Writes a row; `done` is told whether the store acknowledged it.
    virtual void put(const std::string& table, const std::string& key, const std::string& value, TimePoint deadline,
        std::function<void(bool)> done)
        = 0;
};

} // namespace foxtailwheel::store
