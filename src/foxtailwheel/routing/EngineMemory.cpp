#include "foxtailwheel/routing/EngineMemory.h"

#include <algorithm>

namespace foxtailwheel::routing {

std::uint32_t EngineDemand::promptTokens() const
{
    std::uint32_t tokens = 0;
    for (const auto& it : prompt)
        tokens += it.tokens;
    return tokens;
}

std::span<const PromptSegment> EngineDemand::sharedParts() const
{
    return std::span(prompt).first(prompt.empty() ? 0 : prompt.size() - 1);
}

void PromptCache::onUsed(std::span<const PromptSegment> parts, TimePoint now)
{
    for (const auto& it : parts)
        m_usedAt[it.id] = now;
    if (m_usedAt.size() <= maxParts)
        return;
    // Removes the older half at once, so that the cost is spread over many calls.
    std::vector<TimePoint> times;
    for (const auto& it : m_usedAt)
        times.push_back(it.second);
    const auto middle = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
    std::nth_element(times.begin(), middle, times.end());
    std::erase_if(m_usedAt, [oldest = *middle](const auto& it) { return it.second < oldest; });
}

bool PromptCache::contains(std::uint64_t part, Duration retention, TimePoint now) const
{
    const auto it = m_usedAt.find(part);
    return it != m_usedAt.end() && now - it->second <= retention;
}

void EngineMemory::onCallStarted(double tokens)
{
    m_ownTokens += tokens;
}

void EngineMemory::onCallEnded(double tokens)
{
    m_ownTokens = std::max(0.0, m_ownTokens - tokens);
}

} // namespace foxtailwheel::routing
