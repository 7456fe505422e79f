#pragma once

#include "foxtailwheel/base/Units.h"

#include <cstdint>
#include <list>
#include <unordered_map>

namespace foxtailwheel::routing {

/// @brief Hash of a prompt's leading part.
using PrefixHash = std::uint64_t;

/// @brief What a model engine says about its prefix cache.
struct CacheEvent {
    std::uint64_t sequence = 0; ///< Grows by one with each event of the engine.
    PrefixHash prefix = 0;
    bool evicted = false; ///< False where the prefix was stored.
};

/// @brief Belief about the prefixes that one engine holds, from own calls and from late events with gaps.
class PrefixIndex {
public:
    PrefixIndex() = default;
    /// @param capacity Most prefixes remembered; the least recently used goes first.
    explicit PrefixIndex(std::size_t capacity);

    /// @brief An own call with this prefix was sent to the engine.
    void used(PrefixHash prefix);
    /// @brief Takes an event; a gap in the sequence lowers the trust in everything held.
    void event(const CacheEvent& event);
    /// @brief Probability that the engine holds the prefix, from 0 to 1.
    double confidence(PrefixHash prefix) const;
    std::size_t size() const { return m_places.size(); }

private:
    void forget(PrefixHash prefix);

    std::size_t m_capacity = 512;
    std::list<PrefixHash> m_recent;
    std::unordered_map<PrefixHash, std::list<PrefixHash>::iterator> m_places;
    std::uint64_t m_lastSequence = 0;
    double m_trust = 1;
};

} // namespace foxtailwheel::routing
