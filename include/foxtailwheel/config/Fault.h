#pragma once

#include <string>
#include <vector>

namespace foxtailwheel::config {

/// @brief One fault found in a YAML text.
struct Fault {
    int line = 0; ///< From 1; 0 where the fault has no place.
    int column = 0; ///< From 1.
    std::string path; ///< For example `services[2].price`.
    std::string message; ///< What is wrong.
    std::string suggestion; ///< What to write instead; may be empty.

    friend bool operator==(const Fault&, const Fault&) = default;
};

/// @brief Faults of one text, in the order of their places.
using Faults = std::vector<Fault>;

/// @brief One line for people: `12:5 services[2].price: message (suggestion)`.
std::string describe(const Fault& fault);

/// @brief All faults, a line each.
std::string describe(const Faults& faults);

} // namespace foxtailwheel::config
