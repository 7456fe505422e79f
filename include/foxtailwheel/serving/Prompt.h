#pragma once

#include "foxtailwheel/base/StrongId.h"

#include <cstdint>
#include <span>
#include <vector>

namespace foxtailwheel::serving {

/// @brief ID of a part of a prompt, the same in all prompts that share the part.
using PromptPartId = StrongNumber<struct PromptPartTag>;

/// @brief One part of a prompt. Requests with the same leading parts can reuse the same cached state.
struct PromptPart {
    PromptPartId id;
    std::uint32_t tokens = 0;
};

/// @brief Token counts that the caller of a model engine states; 0 if it does not.
struct TokenCounts {
    std::uint32_t prompt = 0;
    std::uint32_t maxOutput = 0;
    std::uint32_t expectedOutput = 0;
};

/// @brief Returns all parts but the last, which belongs to one request or session only.
inline std::span<const PromptPart> sharedParts(const std::vector<PromptPart>& prompt)
{
    return std::span(prompt).first(prompt.empty() ? 0 : prompt.size() - 1);
}

} // namespace foxtailwheel::serving
