#include "foxtailwheel/daemon/Lifecycle.h"

#include <criterion/criterion.h>

using foxtailwheel::daemon::Lifecycle;
using foxtailwheel::daemon::LifecycleEvent;
using foxtailwheel::daemon::LifecycleState;

Test(Lifecycle, shutdownClearsReadinessBeforeDrainingAndStopping)
{
    Lifecycle lifecycle;
    cr_assert(!lifecycle.ready());
    cr_assert(lifecycle.process(LifecycleEvent::ConfigReady) && lifecycle.ready());
    cr_assert(lifecycle.process(LifecycleEvent::ShutdownRequested) && !lifecycle.ready());
    cr_assert(lifecycle.state() == LifecycleState::LameDuck);
    cr_assert(!lifecycle.process(LifecycleEvent::DrainCompleted));
    cr_assert(lifecycle.process(LifecycleEvent::BalancerDelayElapsed));
    cr_assert(lifecycle.process(LifecycleEvent::DrainCompleted) && lifecycle.state() == LifecycleState::Stopped);
}

Test(Lifecycle, aSecondShutdownRequestAbortsTheDrain)
{
    Lifecycle lifecycle;
    lifecycle.process(LifecycleEvent::ConfigReady);
    lifecycle.process(LifecycleEvent::ShutdownRequested);
    cr_assert(!lifecycle.process(LifecycleEvent::ShutdownRequested));
    cr_assert(lifecycle.process(LifecycleEvent::DrainAborted) && lifecycle.state() == LifecycleState::Stopped);
    cr_assert(!lifecycle.process(LifecycleEvent::ConfigReady));
}
