#pragma once

#include "foxtailwheel/base/StrongId.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace foxtailwheel::serving {

/// @brief ID of a part of a prompt, the same in all prompts that share the part.
using PromptPartId = StrongId<struct PromptPartTag>;

/// @brief Returns the ID of the part that a caller names by a text. Up to 64 hexadecimal digits are kept as they are,
/// so that case and leading zeros count. Any other text is replaced by its SHA-256 hash, which bounds the size of IDs
/// and lets them be part of the key of a row.
PromptPartId makePromptPartId(std::string_view text);
/// @brief Returns true for the texts of IDs that `makePromptPartId` returns.
bool isPromptPartId(std::string_view text);

/// @brief Returns the ID whose text is a number in lower-case hexadecimal digits without leading zeros.
PromptPartId promptPartIdOf(std::uint64_t number);
/// @brief Returns the number whose ID this is; empty if no number has it.
std::optional<std::uint64_t> toNumber(const PromptPartId& id);
/// @brief Returns the key by which prompts with this part are placed on servers: the number of the ID, as in earlier
/// builds, or else a hash of its text.
std::uint64_t affinityKeyOf(const PromptPartId& id);

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
