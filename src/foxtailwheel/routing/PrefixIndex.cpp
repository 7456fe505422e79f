#include "foxtailwheel/routing/PrefixIndex.h"

#include <algorithm>

namespace foxtailwheel::routing {

namespace {

    constexpr double gapTrust = 0.7;
    constexpr double trustRecovery = 0.02;

} // namespace

PrefixIndex::PrefixIndex(std::size_t capacity)
    : m_capacity(capacity)
{
}

void PrefixIndex::used(PrefixHash prefix)
{
    forget(prefix);
    m_recent.push_front(prefix);
    m_places[prefix] = m_recent.begin();
    if (m_places.size() > m_capacity)
        forget(m_recent.back());
}

void PrefixIndex::forget(PrefixHash prefix)
{
    const auto it = m_places.find(prefix);
    if (it == m_places.end())
        return;
    m_recent.erase(it->second);
    m_places.erase(it);
}

void PrefixIndex::event(const CacheEvent& event)
{
    if (event.sequence <= m_lastSequence)
        return;
    const bool gap = m_lastSequence != 0 && event.sequence != m_lastSequence + 1;
    m_trust = gap ? m_trust * gapTrust : std::min(1.0, m_trust + trustRecovery);
    m_lastSequence = event.sequence;
    if (event.evicted)
        forget(event.prefix);
    else
        used(event.prefix);
}

double PrefixIndex::confidence(PrefixHash prefix) const
{
    return m_places.contains(prefix) ? m_trust : 0;
}

} // namespace foxtailwheel::routing
