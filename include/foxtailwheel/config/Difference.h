#pragma once

#include "foxtailwheel/config/Declarations.h"

#include <string>
#include <vector>

namespace foxtailwheel::config {

/// @brief How a declared item differs between two configurations.
enum class ChangeKind { Added, Removed, Changed };

/// @brief A declared item that differs between two configurations.
struct Change {
    ChangeKind kind = ChangeKind::Changed;
    std::string path; ///< For example `services/encode/servers/encode-1`.
    std::string detail; ///< All fields before and after, as `a=1 b=2 -> a=1 b=3 `; empty for added and removed items.

    friend bool operator==(const Change&, const Change&) = default;
};

/// @brief Returns the differences from `before` to `after`, sorted by path.
std::vector<Change> difference(const Declarations& before, const Declarations& after);

/// @brief Formats a change as one line: `+ path`, `- path` or `~ path: detail`.
std::string describe(const Change& change);

} // namespace foxtailwheel::config
