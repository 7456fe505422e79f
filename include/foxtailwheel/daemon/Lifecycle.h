#pragma once

#include <memory>

namespace foxtailwheel::daemon {

/// @brief State of an instance's life.
enum class LifeState {
    Starting, ///< No configuration yet; not ready.
    Serving,
    Announcing, ///< Not ready any more, but still taking what the balancer sends.
    Draining, ///< Nothing new; runs in progress end.
    Stopped,
};

/// @brief What happens in an instance's life.
enum class LifeEvent {
    CaughtUp, ///< The configuration is in force.
    ShutdownAsked,
    BalancerInformed, ///< The balancer had time to see that the instance is not ready.
    LastRunEnded,
    DrainCut, ///< The limit passed or a second signal came.
};

/// @brief State machine of an instance's life; not thread-safe.
class Lifecycle {
public:
    Lifecycle();
    ~Lifecycle();
    Lifecycle(const Lifecycle&) = delete;
    Lifecycle& operator=(const Lifecycle&) = delete;

    /// @brief Takes an event; false where it does not fit the state.
    bool process(LifeEvent event);
    LifeState state() const;
    /// @brief True where the balancer should send requests here.
    bool ready() const { return state() == LifeState::Serving; }

private:
    struct Machine;
    std::unique_ptr<Machine> m_machine;
};

} // namespace foxtailwheel::daemon
