#include "foxtailwheel/routing/PrefixIndex.h"

#include <algorithm>

namespace foxtailwheel::routing {

namespace {

    /// Factor on the confidence for each gap in the sequence of events.
    constexpr double gapConfidenceFactor = 0.7;
    /// Confidence regained with each event that arrives in sequence.
    constexpr double confidenceRecovery = 0.02;

} // namespace

PrefixIndex::PrefixIndex(std::size_t capacity)
    : m_capacity(capacity)
{
}

void PrefixIndex::onPrefixUsed(PrefixHash prefix)
{
    erase(prefix);
    m_lruList.push_front(prefix);
    m_entries[prefix] = m_lruList.begin();
    if (m_entries.size() > m_capacity)
        erase(m_lruList.back());
}

void PrefixIndex::erase(PrefixHash prefix)
{
    const auto it = m_entries.find(prefix);
    if (it == m_entries.end())
        return;
    m_lruList.erase(it->second);
    m_entries.erase(it);
}

void PrefixIndex::onCacheEvent(const CacheEvent& event)
{
    if (event.sequence <= m_lastSequence)
        return;
    const bool hasGap = m_lastSequence != 0 && event.sequence != m_lastSequence + 1;
    m_confidence = hasGap ? m_confidence * gapConfidenceFactor : std::min(1.0, m_confidence + confidenceRecovery);
    m_lastSequence = event.sequence;
    if (event.evicted)
        erase(event.prefix);
    else
        onPrefixUsed(event.prefix);
}

double PrefixIndex::hitProbability(PrefixHash prefix) const
{
    return m_entries.contains(prefix) ? m_confidence : 0;
}

} // namespace foxtailwheel::routing
