#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace foxtailwheel::serving {

/// @brief One decision and its inputs, for the log.
struct DecisionRecord {
    std::string_view event;
    std::string request; ///< Empty if the decision does not concern a single request.
    std::vector<std::pair<std::string_view, std::string>> fields;
};

/// @brief Receives decisions for the log. It is called while a decision is being made and must not call back.
using DecisionLog = std::function<void(const DecisionRecord&)>;

} // namespace foxtailwheel::serving
