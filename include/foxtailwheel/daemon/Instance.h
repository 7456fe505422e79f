#pragma once

#include "foxtailwheel/base/Error.h"
#include "foxtailwheel/config/Settings.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace foxtailwheel::daemon {

/// @brief A running instance: connects the decision libraries, which do no I/O, to the network and the store.
class Instance {
public:
    /// @brief Starts an instance, which runs until `waitUntilStopped` returns.
    static Result<std::unique_ptr<Instance>> start(config::Settings settings);
    virtual ~Instance() = default;
    /// @brief Starts a graceful shutdown; a second call aborts the requests in progress.
    virtual void shutDown() = 0;
    /// @brief Blocks until the instance has stopped.
    /// @return Number of aborted requests.
    virtual std::size_t waitUntilStopped() = 0;
    virtual std::uint16_t callerPort() const = 0;
    virtual std::uint16_t operatorPort() const = 0;
};

} // namespace foxtailwheel::daemon
