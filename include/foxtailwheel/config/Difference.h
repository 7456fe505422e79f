#pragma once

#include "foxtailwheel/config/Declarations.h"

#include <string>
#include <vector>

namespace foxtailwheel::config {

/// @brief What happened to one declared thing.
enum class ChangeKind { Added, Removed, Changed };

/// @brief One difference between two configurations.
struct Change {
    ChangeKind kind = ChangeKind::Changed;
    std::string path; ///< For example `services/encode/servers/encode-1`.
    std::string detail; ///< For example `price 3uc -> 4uc`; empty for added and removed.

    friend bool operator==(const Change&, const Change&) = default;
};

/// @brief The differences from `before` to `after`, ordered by path.
std::vector<Change> difference(const Declarations& before, const Declarations& after);

/// @brief One line: `+ path`, `- path` or `~ path: detail`.
std::string describe(const Change& change);

} // namespace foxtailwheel::config
