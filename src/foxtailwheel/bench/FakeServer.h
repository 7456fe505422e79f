#pragma once

#include "foxtailwheel/base/Units.h"
#include "foxtailwheel/config/Declarations.h"
#include "foxtailwheel/serving/Dispatcher.h"

#include <cstdint>
#include <deque>
#include <list>
#include <memory>

namespace foxtailwheel::bench {

/// @brief One call to a fake server.
struct FakeCall {
    serving::SendCall send;
    std::size_t instance = 0;
    std::uint64_t requestNumber = 0; ///< Sequence number of the request.
    bool cancelled = false;
    bool running = false;
    bool completed = false;
};

/// @brief Simulated backend server with slots, a queue and, for model engines, an LRU prefix cache.
struct FakeServer {
    const config::Service* service = nullptr;
    config::BackendServer declaration;
    double slowdown = 1; ///< Factor applied to the time of each call.
    bool crashed = false;
    bool unresponsive = false; ///< Crashed without closing its connections.
    std::uint32_t runningCalls = 0;
    std::deque<std::shared_ptr<FakeCall>> queue;
    std::list<routing::PrefixHash> prefixCache; ///< Most recently used first.
    std::uint64_t cacheSequence = 0;

    /// @brief Inserts a prefix or marks it as most recently used; returns true if it was cached.
    bool touchPrefix(routing::PrefixHash prefix);
};

/// @brief Number of prefixes that a simulated model engine caches.
constexpr std::size_t prefixCacheCapacity = 24;
/// @brief Fraction of the call time that a cached prefix saves.
constexpr double prefixCacheSaving = 0.35;

} // namespace foxtailwheel::bench
