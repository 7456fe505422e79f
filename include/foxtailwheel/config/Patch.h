#pragma once

#include "foxtailwheel/base/Error.h"
#include "foxtailwheel/base/Ids.h"

#include <cstddef>
#include <string>

namespace foxtailwheel::config {

/// @brief Binary delta between two versions of a text: the bytes between their common prefix and suffix.
struct Patch {
    ConfigVersion from;
    ConfigVersion to;
    std::uint64_t head = 0; ///< Length of the common prefix, in bytes.
    std::uint64_t tail = 0; ///< Length of the common suffix, in bytes.
    std::string middle; ///< Bytes of the new text between prefix and suffix.
    std::string hash; ///< SHA-256 hash of the new text, as hexadecimal digits.

    friend bool operator==(const Patch&, const Patch&) = default;
};

/// @brief Computes the patch from `before` to `after`.
Patch makePatch(ConfigVersion from, const std::string& before, ConfigVersion to, const std::string& after);

/// @brief Applies a patch and verifies the hash of the result.
/// @return The new text, or `Errc::Conflict` if the patch was made for a different text.
Result<std::string> applyPatch(const std::string& before, const Patch& patch);

} // namespace foxtailwheel::config
