#pragma once

#include <string>
#include <vector>

namespace foxtailwheel::config {

/// @brief A syntax or validation error in a YAML text.
struct Fault {
    int line = 0; ///< Starting at 1; 0 if the fault has no location.
    int column = 0; ///< Starting at 1; 0 if the fault has no location.
    std::string path; ///< For example `services[2].price`.
    std::string message; ///< Description of the error.
    std::string suggestion; ///< How to correct it; may be empty.

    friend bool operator==(const Fault&, const Fault&) = default;
};

/// @brief Faults of one text; `parseDeclarations` sorts them by location.
using Faults = std::vector<Fault>;

/// @brief Formats a fault as one line: `12:5 services[2].price: message (suggestion)`.
std::string describe(const Fault& fault);

/// @brief Formats all faults, one per line.
std::string describe(const Faults& faults);

} // namespace foxtailwheel::config
