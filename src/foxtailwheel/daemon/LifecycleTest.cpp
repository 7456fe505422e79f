#include "foxtailwheel/daemon/Lifecycle.h"

#include <criterion/criterion.h>

using foxtailwheel::daemon::Lifecycle;
using foxtailwheel::daemon::LifeEvent;
using foxtailwheel::daemon::LifeState;

Test(Lifecycle, readinessGoesFirstAndTheEndComesLast)
{
    Lifecycle life;
    cr_assert(!life.ready());
    cr_assert(life.process(LifeEvent::CaughtUp) && life.ready());
    cr_assert(life.process(LifeEvent::ShutdownAsked) && !life.ready());
    cr_assert(life.state() == LifeState::Announcing);
    cr_assert(!life.process(LifeEvent::LastRunEnded));
    cr_assert(life.process(LifeEvent::BalancerInformed));
    cr_assert(life.process(LifeEvent::LastRunEnded) && life.state() == LifeState::Stopped);
}

Test(Lifecycle, aSecondSignalCuts)
{
    Lifecycle life;
    life.process(LifeEvent::CaughtUp);
    life.process(LifeEvent::ShutdownAsked);
    cr_assert(!life.process(LifeEvent::ShutdownAsked));
    cr_assert(life.process(LifeEvent::DrainCut) && life.state() == LifeState::Stopped);
    cr_assert(!life.process(LifeEvent::CaughtUp));
}
