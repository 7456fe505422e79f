#pragma once

#include "foxtailwheel/serving/CrashingParts.h"
#include "foxtailwheel/store/ChangeFeed.h"

#include <optional>
#include <string>
#include <vector>

namespace foxtailwheel::control {

/// @brief Encodes an update as rows of the table that the instances share; a row without a value is removed.
std::vector<store::FeedRow> encodeCrashRecords(const serving::CrashRecordUpdate& update);

/// @brief Decodes a row of that table; empty if it is no crash record.
std::optional<serving::CrashRecord> decodeCrashRecord(const std::string& key, const std::string& value);

} // namespace foxtailwheel::control
