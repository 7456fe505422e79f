#pragma once

#include "foxtailwheel/base/Error.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace foxtailwheel {

/// @brief Delta between two versions of a text: ranges to copy from the old one, with new bytes between them.
struct TextDelta {
    /// @brief A range of the old text, followed by new bytes.
    struct Copy {
        std::uint64_t offset = 0;
        std::uint64_t size = 0;
        std::uint64_t newBytes = 0; ///< Bytes of `added` that follow the range.

        friend bool operator==(const Copy&, const Copy&) = default;
    };

    std::vector<Copy> copies;
    std::string added; ///< New bytes of all copies, in order.
    std::uint64_t hash = 0; ///< Hash of the new text.

    /// @brief Size in a message, in bytes.
    std::size_t encodedSize() const { return copies.size() * sizeof(Copy) + added.size(); }

    friend bool operator==(const TextDelta&, const TextDelta&) = default;
};

/// @brief Computes the delta from `before` to `after`, in time linear in their sizes.
TextDelta makeDelta(std::string_view before, std::string_view after);

/// @brief Applies a delta and verifies the hash of the result.
/// @return The new text, or `Errc::Conflict` if the delta was made for a different text.
Result<std::string> applyDelta(std::string_view before, const TextDelta& delta);

} // namespace foxtailwheel
