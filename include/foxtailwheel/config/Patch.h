#pragma once

#include "foxtailwheel/base/Error.h"
#include "foxtailwheel/base/Ids.h"

#include <cstddef>
#include <string>

namespace foxtailwheel::config {

/// @brief What turns the text of one version into that of another: the bytes between their common head and tail.
struct Patch {
    ConfigVersion from;
    ConfigVersion to;
    std::uint64_t head = 0; ///< Bytes kept at the beginning.
    std::uint64_t tail = 0; ///< Bytes kept at the end.
    std::string middle; ///< Bytes in between, of the newer text.
    std::string hash; ///< SHA-256 of the newer text.

    friend bool operator==(const Patch&, const Patch&) = default;
};

/// @brief Makes the patch from `before` to `after`.
Patch makePatch(ConfigVersion from, const std::string& before, ConfigVersion to, const std::string& after);

/// @brief Applies a patch and checks the result against its hash.
/// @return `Errc::Conflict` where the patch is not for this text.
Result<std::string> applyPatch(const std::string& before, const Patch& patch);

} // namespace foxtailwheel::config
