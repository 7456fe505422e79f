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

    struct FirstByteSent { };
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
            Row<Dispatched, FirstByteSent,   Sent,       none, none>,
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

    template <class Event> bool processEvent(Backend& backend, const Event& event)
    {
        return backend.process_event(event) == msm::back::HANDLED_TRUE;
    }

    template <class State> constexpr int stateId()
    {
        return msm::back::get_state_id<Backend::stt, State>::value;
    }

    AttemptState currentState(const Backend& backend)
    {
        constexpr std::array ids { stateId<Dispatched>(), stateId<Sent>(), stateId<Streaming>(), stateId<Answered>(),
            stateId<NotStarted>(), stateId<Failed>(), stateId<Cancelled>() };
        const int current = backend.current_state()[0];
        for (std::size_t i = 0; i < ids.size(); ++i) {
            if (ids.at(i) == current)
                return static_cast<AttemptState>(i);
        }
        return AttemptState::Cancelled;
    }

} // namespace

struct AttemptStateMachine::Impl {
    Backend backend;
};

AttemptStateMachine::AttemptStateMachine()
    : m_impl(std::make_unique<Impl>())
{
    m_impl->backend.start();
}
AttemptStateMachine::AttemptStateMachine(AttemptStateMachine&&) noexcept = default;
AttemptStateMachine& AttemptStateMachine::operator=(AttemptStateMachine&&) noexcept = default;
AttemptStateMachine::~AttemptStateMachine() = default;

bool AttemptStateMachine::process(AttemptEvent event)
{
    auto& backend = m_impl->backend;
    switch (event) {
    case AttemptEvent::FirstByteSent:
        return processEvent(backend, FirstByteSent {});
    case AttemptEvent::Progress:
        return processEvent(backend, Progress {});
    case AttemptEvent::Answer:
        return processEvent(backend, Answer {});
    case AttemptEvent::NotStarted:
        return processEvent(backend, NotStartedEvent {});
    case AttemptEvent::Failure:
        return processEvent(backend, Failure {});
    case AttemptEvent::Cancel:
        return processEvent(backend, Cancel {});
    }
    return false;
}

AttemptState AttemptStateMachine::state() const
{
    return currentState(m_impl->backend);
}

bool AttemptStateMachine::isOpen() const
{
    const auto current = state();
    return current == AttemptState::Dispatched || current == AttemptState::Sent || current == AttemptState::Streaming;
}

bool AttemptStateMachine::sideEffectPossible() const
{
    return state() != AttemptState::NotStarted;
}

} // namespace foxtailwheel::pipeline
