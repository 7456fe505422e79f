#pragma once

#include "foxtailwheel/base/Units.h"

#include <cstdint>
#include <span>
#include <unordered_map>
#include <vector>

namespace foxtailwheel::routing {

/// @brief One part of a prompt. Prompts that share their leading parts can reuse the state that an engine has cached.
struct PromptSegment {
    std::uint64_t id = 0;
    std::uint32_t tokens = 0;
};

/// @brief What a request needs from a model engine.
struct EngineDemand {
    std::vector<PromptSegment> prompt; ///< All parts; the last belongs to this request only.
    std::uint32_t outputTokens = 0; ///< Expected number of tokens of the response.

    std::uint32_t promptTokens() const;
    /// @brief Returns the tokens that no other request shares.
    std::uint32_t ownTokens() const { return prompt.empty() ? 0 : prompt.back().tokens; }
    /// @brief Returns the parts that other requests may share.
    std::span<const PromptSegment> sharedParts() const;
};

/// @brief Prompt parts that an engine has read lately and probably still has cached.
class PromptCache {
public:
    /// @brief Records that a prompt with these leading parts is read at `now`.
    void onUsed(std::span<const PromptSegment> parts, TimePoint now);
    /// @brief Returns true if the part was used within `retention` before `now`.
    bool contains(std::uint64_t part, Duration retention, TimePoint now) const;
    /// @brief Forgets everything, for a server that was started again.
    void clear() { m_usedAt.clear(); }

private:
    static constexpr std::size_t maxParts = 256;

    std::unordered_map<std::uint64_t, TimePoint> m_usedAt;
};

/// @brief Tokens that the requests on one engine hold in its memory. Own calls are counted exactly, those of other
/// instances as their number times the mean of the own calls.
class EngineMemory {
public:
    void onCallStarted(double tokens);
    void onCallEnded(double tokens);
    /// @brief Returns the tokens in use.
    /// @param otherCalls Calls of other instances on the engine.
    /// @param meanTokens Mean tokens of a call.
    double usedTokens(double otherCalls, double meanTokens) const { return m_ownTokens + otherCalls * meanTokens; }

private:
    double m_ownTokens = 0;
};

} // namespace foxtailwheel::routing
