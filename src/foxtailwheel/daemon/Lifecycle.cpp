#include "foxtailwheel/daemon/Lifecycle.h"

#include <array>
#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace foxtailwheel::daemon {

namespace {

    namespace msm = boost::msm;
    using msm::front::none;
    using msm::front::Row;

    struct ConfigReady { };
    struct ShutdownRequested { };
    struct BalancerDelayElapsed { };
    struct DrainCompleted { };
    struct DrainAborted { };

    struct Starting : msm::front::state<> { };
    struct Serving : msm::front::state<> { };
    struct LameDuck : msm::front::state<> { };
    struct Draining : msm::front::state<> { };
    struct Stopped : msm::front::state<> { };

    struct MachineDef : msm::front::state_machine_def<MachineDef> {
        using initial_state = Starting;
        // clang-format off
        struct transition_table : boost::mpl::vector< // NOLINT(readability-identifier-naming)
            Row<Starting, ConfigReady,          Serving,  none, none>,
            Row<Starting, ShutdownRequested,    Draining, none, none>,
            Row<Serving,  ShutdownRequested,    LameDuck, none, none>,
            Row<LameDuck, BalancerDelayElapsed, Draining, none, none>,
            Row<LameDuck, DrainAborted,         Stopped,  none, none>,
            Row<Draining, DrainCompleted,       Stopped,  none, none>,
            Row<Draining, DrainAborted,         Stopped,  none, none>
        > { };
        // clang-format on

        template <class Fsm, class Event>
        void no_transition(const Event& /*event*/, Fsm& /*fsm*/, int /*state*/) // NOLINT(readability-identifier-naming)
        {
        }
    };

    using StateMachine = msm::back::state_machine<MachineDef>;

    template <class State> constexpr int stateId()
    {
        return msm::back::get_state_id<StateMachine::stt, State>::value;
    }

    template <class Event> bool processEvent(StateMachine& stateMachine, const Event& event)
    {
        return stateMachine.process_event(event) == msm::back::HANDLED_TRUE;
    }

} // namespace

struct Lifecycle::Machine {
    StateMachine stateMachine;
};

Lifecycle::Lifecycle()
    : m_machine(std::make_unique<Machine>())
{
    m_machine->stateMachine.start();
}
Lifecycle::~Lifecycle() = default;

bool Lifecycle::process(LifecycleEvent event)
{
    auto& stateMachine = m_machine->stateMachine;
    switch (event) {
    case LifecycleEvent::ConfigReady:
        return processEvent(stateMachine, ConfigReady {});
    case LifecycleEvent::ShutdownRequested:
        return processEvent(stateMachine, ShutdownRequested {});
    case LifecycleEvent::BalancerDelayElapsed:
        return processEvent(stateMachine, BalancerDelayElapsed {});
    case LifecycleEvent::DrainCompleted:
        return processEvent(stateMachine, DrainCompleted {});
    case LifecycleEvent::DrainAborted:
        return processEvent(stateMachine, DrainAborted {});
    }
    return false;
}

LifecycleState Lifecycle::state() const
{
    constexpr std::array ids { stateId<Starting>(), stateId<Serving>(), stateId<LameDuck>(), stateId<Draining>(),
        stateId<Stopped>() };
    const int current = m_machine->stateMachine.current_state()[0];
    for (std::size_t i = 0; i < ids.size(); ++i) {
        if (ids.at(i) == current)
            return static_cast<LifecycleState>(i);
    }
    return LifecycleState::Stopped;
}

} // namespace foxtailwheel::daemon
