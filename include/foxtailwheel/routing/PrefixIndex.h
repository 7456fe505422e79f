#pragma once

#include "foxtailwheel/base/Units.h"

#include <cstdint>
#include <list>
#include <unordered_map>

namespace foxtailwheel::routing {

/// @brief Hash of the prefix of a prompt.
using PrefixHash = std::uint64_t;

/// @brief Change in the prefix cache of a model engine, as reported by the engine.
struct CacheEvent {
    std::uint64_t sequence = 0; ///< Incremented by one for each event of the engine.
    PrefixHash prefix = 0;
    bool evicted = false; ///< True if the prefix was evicted, false if it was stored.
};

/// @brief Estimates which prefixes one model engine has cached, from the calls of this instance and from cache events,
/// which arrive late and can be lost.
class PrefixIndex {
public:
    PrefixIndex() = default;
    /// @param capacity Maximum number of prefixes; the least recently used prefix is evicted first.
    explicit PrefixIndex(std::size_t capacity);

    /// @brief Records that this instance sent a call with this prefix to the engine.
    void onPrefixUsed(PrefixHash prefix);
    /// @brief Applies a cache event; a gap in the sequence lowers the hit probability of all prefixes.
    void onCacheEvent(const CacheEvent& event);
    /// @brief Returns the probability from 0 to 1 that the engine has the prefix in its cache.
    double hitProbability(PrefixHash prefix) const;
    std::size_t size() const { return m_entries.size(); }

private:
    void erase(PrefixHash prefix);

    std::size_t m_capacity = 512;
    std::list<PrefixHash> m_lruList;
    std::unordered_map<PrefixHash, std::list<PrefixHash>::iterator> m_entries;
    std::uint64_t m_lastSequence = 0;
    double m_confidence = 1;
};

} // namespace foxtailwheel::routing
