#include "foxtailwheel/pipeline/Attempt.h"

#include <array>
#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace foxtailwheel::pipeline {

namespace {

    namespace msm = boost::msm;
    using msm::front::none;
    using msm::front::Row;

    struct FirstByte { };
    struct Progress { };
    struct Answer { };
    struct NotStartedEvent { };
    struct Failure { };
    struct Cancel { };

    struct Dispatched : msm::front::state<> { };
    struct Sent : msm::front::state<> { };
    struct Streaming : msm::front::state<> { };
    struct Answered : msm::front::state<> { };
    struct NotStarted : msm::front::state<> { };
    struct Failed : msm::front::state<> { };
    struct Cancelled : msm::front::state<> { };

    struct MachineDef : msm::front::state_machine_def<MachineDef> {
        using initial_state = Dispatched;
        // clang-format off
        struct transition_table : boost::mpl::vector< // NOLINT(readability-identifier-naming)
            Row<Dispatched, FirstByte,       Sent,       none, none>,
            Row<Sent,       Progress,        Streaming,  none, none>,
            Row<Streaming,  Answer,          Answered,   none, none>,
            Row<Dispatched, NotStartedEvent, NotStarted, none, none>,
            Row<Dispatched, Progress,        Streaming,  none, none>,
            Row<Dispatched, Answer,          Answered,   none, none>,
            Row<Dispatched, Failure,         Failed,     none, none>,
            Row<Dispatched, Cancel,          Cancelled,  none, none>,
            Row<Sent,       Answer,          Answered,   none, none>,
            Row<Sent,       NotStartedEvent, NotStarted, none, none>,
            Row<Sent,       Failure,         Failed,     none, none>,
            Row<Sent,       Cancel,          Cancelled,  none, none>,
            Row<Streaming,  Progress,        Streaming,  none, none>,
            Row<Streaming,  Failure,         Failed,     none, none>,
            Row<Streaming,  Cancel,          Cancelled,  none, none>,
            Row<Cancelled,  NotStartedEvent, NotStarted, none, none>
        > { };
        // clang-format on

        template <class Fsm, class Event>
        void no_transition(const Event& /*event*/, Fsm& /*fsm*/, int /*state*/) // NOLINT(readability-identifier-naming)
        {
        }
    };

    using Backend = msm::back::state_machine<MachineDef>;

    template <class Event> bool send(Backend& backend, const Event& event)
    {
        return backend.process_event(event) == msm::back::HANDLED_TRUE;
    }

    template <class State> constexpr int idOf()
    {
        return msm::back::get_state_id<Backend::stt, State>::value;
    }

    AttemptState stateOf(const Backend& backend)
    {
        constexpr std::array ids { idOf<Dispatched>(), idOf<Sent>(), idOf<Streaming>(), idOf<Answered>(),
            idOf<NotStarted>(), idOf<Failed>(), idOf<Cancelled>() };
        const int n = backend.current_state()[0];
        for (std::size_t i = 0; i < ids.size(); ++i) {
            if (ids.at(i) == n)
                return static_cast<AttemptState>(i);
        }
        return AttemptState::Cancelled;
    }

} // namespace

struct AttemptLife::Machine {
    Backend backend;
};

AttemptLife::AttemptLife()
    : m_machine(std::make_unique<Machine>())
{
    m_machine->backend.start();
}
AttemptLife::AttemptLife(AttemptLife&&) noexcept = default;
AttemptLife& AttemptLife::operator=(AttemptLife&&) noexcept = default;
AttemptLife::~AttemptLife() = default;

bool AttemptLife::process(AttemptEvent event)
{
    auto& backend = m_machine->backend;
    switch (event) {
    case AttemptEvent::FirstByte:
        return send(backend, FirstByte {});
    case AttemptEvent::Progress:
        return send(backend, Progress {});
    case AttemptEvent::Answer:
        return send(backend, Answer {});
    case AttemptEvent::NotStarted:
        return send(backend, NotStartedEvent {});
    case AttemptEvent::Failure:
        return send(backend, Failure {});
    case AttemptEvent::Cancel:
        return send(backend, Cancel {});
    }
    return false;
}

AttemptState AttemptLife::state() const
{
    return stateOf(m_machine->backend);
}

bool AttemptLife::open() const
{
    const auto now = state();
    return now == AttemptState::Dispatched || now == AttemptState::Sent || now == AttemptState::Streaming;
}

bool AttemptLife::effectPossible() const
{
    return state() != AttemptState::NotStarted;
}

} // namespace foxtailwheel::pipeline
