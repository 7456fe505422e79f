#pragma once

#include <memory>

namespace foxtailwheel::daemon {

/// @brief Lifecycle state of an instance.
enum class LifecycleState {
    Starting, ///< No configuration is active yet; not ready.
    Serving,
    LameDuck, ///< Not ready, but still accepts the requests that the load balancer sends until it notices.
    Draining, ///< Rejects new requests; runs in progress continue.
    Stopped,
};

/// @brief Event that may change the lifecycle state.
enum class LifecycleEvent {
    ConfigReady, ///< The latest configuration is active.
    ShutdownRequested,
    BalancerDelayElapsed, ///< The load balancer had time to see that the instance is not ready.
    DrainCompleted, ///< No request, run or pending claim record remains.
    DrainAborted, ///< The drain timeout passed or a second signal was received.
};

/// @brief State machine of an instance's lifecycle; not thread-safe.
class Lifecycle {
public:
    Lifecycle();
    ~Lifecycle();
    Lifecycle(const Lifecycle&) = delete;
    Lifecycle& operator=(const Lifecycle&) = delete;

    /// @brief Processes an event; returns false if the current state has no transition for it.
    bool process(LifecycleEvent event);
    LifecycleState state() const;
    /// @brief True if the load balancer should send requests to this instance.
    bool ready() const { return state() == LifecycleState::Serving; }

private:
    struct Machine;
    std::unique_ptr<Machine> m_machine;
};

} // namespace foxtailwheel::daemon
