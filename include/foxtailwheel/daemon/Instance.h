#pragma once

#include "foxtailwheel/base/Error.h"
#include "foxtailwheel/config/Settings.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace foxtailwheel::daemon {

/// @brief One running instance: composes the decision libraries with input and output.
class Instance {
public:
    /// @brief Starts an instance; it serves until `waitUntilStopped` returns.
    static Result<std::unique_ptr<Instance>> start(config::Settings settings);
    virtual ~Instance() = default;
    /// @brief Begins a graceful shutdown; the second call cuts what is still in progress.
    virtual void shutDown() = 0;
    /// @brief Waits for the end of the instance's life.
    /// @return Requests that were cut off.
    virtual std::size_t waitUntilStopped() = 0;
    virtual std::uint16_t callerPort() const = 0;
    virtual std::uint16_t operatorPort() const = 0;
};

} // namespace foxtailwheel::daemon
