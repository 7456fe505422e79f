#pragma once

#include "foxtailwheel/base/Units.h"
#include "foxtailwheel/config/Declarations.h"
#include "foxtailwheel/serving/Dispatcher.h"

#include <cstdint>
#include <deque>
#include <list>
#include <memory>

namespace foxtailwheel::bench {

/// @brief One call on its way through a fake server.
struct FakeCall {
    serving::SendCall send;
    std::size_t instance = 0;
    std::uint64_t arrival = 0; ///< Number of the request.
    bool stopped = false;
    bool running = false;
    bool ended = false;
};

/// @brief Fake backend server: slots, a queue, and a prefix cache for model engines.
struct FakeServer {
    const config::Service* service = nullptr;
    config::BackendServer declared;
    double slowness = 1; ///< Factor on the time of each call.
    bool dead = false;
    bool silent = false; ///< Dead without closing its connections.
    std::uint32_t running = 0;
    std::deque<std::shared_ptr<FakeCall>> queue;
    std::list<routing::PrefixHash> cache; ///< Most recently used first.
    std::uint64_t cacheSequence = 0;

    /// @brief Looks a prefix up and makes it the most recent; true where it was held.
    bool touchPrefix(routing::PrefixHash prefix);
};

/// @brief Prefixes that a fake engine holds.
constexpr std::size_t cachedPrefixes = 24;
/// @brief Share of the call time that a held prefix saves.
constexpr double prefixSaving = 0.35;

} // namespace foxtailwheel::bench
