#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace foxtailwheel::serving {

/// @brief One decision with what decided it, for the log.
struct Note {
    std::string_view event;
    std::string request; ///< Empty where it touches no single request.
    std::vector<std::pair<std::string_view, std::string>> fields;
};

/// @brief Receives decisions for the log; called while a decision is made, so it must not call back.
using NoteSink = std::function<void(const Note&)>;

} // namespace foxtailwheel::serving
