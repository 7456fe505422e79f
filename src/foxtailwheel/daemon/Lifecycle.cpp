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

    struct CaughtUp { };
    struct ShutdownAsked { };
    struct BalancerInformed { };
    struct LastRunEnded { };
    struct DrainCut { };

    struct Starting : msm::front::state<> { };
    struct Serving : msm::front::state<> { };
    struct Announcing : msm::front::state<> { };
    struct Draining : msm::front::state<> { };
    struct Stopped : msm::front::state<> { };

    struct MachineDef : msm::front::state_machine_def<MachineDef> {
        using initial_state = Starting;
        // clang-format off
        struct transition_table : boost::mpl::vector< // NOLINT(readability-identifier-naming)
            Row<Starting,   CaughtUp,         Serving,    none, none>,
            Row<Starting,   ShutdownAsked,    Draining,   none, none>,
            Row<Serving,    ShutdownAsked,    Announcing, none, none>,
            Row<Announcing, BalancerInformed, Draining,   none, none>,
            Row<Announcing, DrainCut,         Stopped,    none, none>,
            Row<Draining,   LastRunEnded,     Stopped,    none, none>,
            Row<Draining,   DrainCut,         Stopped,    none, none>
        > { };
        // clang-format on

        template <class Fsm, class Event>
        void no_transition(const Event& /*event*/, Fsm& /*fsm*/, int /*state*/) // NOLINT(readability-identifier-naming)
        {
        }
    };

    using Backend = msm::back::state_machine<MachineDef>;

    template <class State> constexpr int idOf()
    {
        return msm::back::get_state_id<Backend::stt, State>::value;
    }

    template <class Event> bool send(Backend& backend, const Event& event)
    {
        return backend.process_event(event) == msm::back::HANDLED_TRUE;
    }

} // namespace

struct Lifecycle::Machine {
    Backend backend;
};

Lifecycle::Lifecycle()
    : m_machine(std::make_unique<Machine>())
{
    m_machine->backend.start();
}
Lifecycle::~Lifecycle() = default;

bool Lifecycle::process(LifeEvent event)
{
    auto& backend = m_machine->backend;
    switch (event) {
    case LifeEvent::CaughtUp:
        return send(backend, CaughtUp {});
    case LifeEvent::ShutdownAsked:
        return send(backend, ShutdownAsked {});
    case LifeEvent::BalancerInformed:
        return send(backend, BalancerInformed {});
    case LifeEvent::LastRunEnded:
        return send(backend, LastRunEnded {});
    case LifeEvent::DrainCut:
        return send(backend, DrainCut {});
    }
    return false;
}

LifeState Lifecycle::state() const
{
    constexpr std::array ids { idOf<Starting>(), idOf<Serving>(), idOf<Announcing>(), idOf<Draining>(),
        idOf<Stopped>() };
    const int n = m_machine->backend.current_state()[0];
    for (std::size_t i = 0; i < ids.size(); ++i) {
        if (ids.at(i) == n)
            return static_cast<LifeState>(i);
    }
    return LifeState::Stopped;
}

} // namespace foxtailwheel::daemon
