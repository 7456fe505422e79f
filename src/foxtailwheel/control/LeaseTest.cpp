#include "foxtailwheel/control/Lease.h"

#include "foxtailwheel/base/Clock.h"
#include "foxtailwheel/base/Random.h"

#include <criterion/criterion.h>
#include <memory>
#include <vector>

using namespace foxtailwheel;
using namespace std::chrono_literals;
using control::Lease;
using control::LeaseOptions;
using control::LeaseStep;

namespace {

/// A single row with conditional writes.
struct RowStore {
    std::string value;
    std::uint64_t version = 0;

    store::ReadResult read() const
    {
        store::ReadResult result { true, {} };
        if (version > 0)
            result.rows.push_back({ "lease", value, version });
        return result;
    }

    store::TransactResult write(const store::Transaction& transaction)
    {
        if (transaction.conditions.front().version.value_or(0) != version)
            return { store::TransactOutcome::ConditionFailed, read().rows };
        value = *transaction.writes.front().value;
        ++version;
        return { store::TransactOutcome::Applied, {} };
    }
};

/// An instance that may be paused between two steps.
struct Contender {
    explicit Contender(const std::string& name)
        : lease(ServiceId("generate"), InstanceId(name), LeaseOptions {})
    {
    }

    Lease lease;
    TimePoint pausedUntil {};
};

void step(Contender& contender, RowStore& store, TimePoint now, Random& random)
{
    switch (contender.lease.step(now)) {
    case LeaseStep::None:
        return;
    case LeaseStep::Read:
        contender.lease.beginRead();
        contender.lease.onRead(random.chance(0.1) ? store::ReadResult() : store.read(), now);
        return;
    case LeaseStep::Write:
        auto result = store.write(contender.lease.beginWrite(now));
        if (random.chance(0.1))
            result = { store::TransactOutcome::Ambiguous, {} };
        contender.lease.onWrite(result, now);
        return;
    }
}

} // namespace

Test(Lease, atMostOneHolderUnderPausesAndLostResponses)
{
    for (std::uint64_t seed = 0; seed < 200; ++seed) {
        Random random(seed);
        RowStore store;
        std::vector<Contender> contenders;
        for (int i = 0; i < 3; ++i)
            contenders.emplace_back("instance-" + std::to_string(i));
        FencingToken highest;
        TimePoint now(1h);
        for (int i = 0; i < 2000; ++i, now += 100ms) {
            std::size_t holders = 0;
            for (auto& it : contenders) {
                if (random.chance(0.002))
                    it.pausedUntil = now + fromSeconds(random.exponential(15));
                if (now >= it.pausedUntil)
                    step(it, store, now, random);
                const auto fencing = it.lease.currentFencingToken(now, true);
                holders += fencing ? 1 : 0;
                if (fencing) {
                    cr_assert(*fencing >= highest, "seed %lu: a holder uses an outdated fencing token", seed);
                    highest = *fencing;
                }
            }
            cr_assert_leq(holders, 1U, "seed %lu: two holders", seed);
        }
        cr_assert(highest.value() > 0, "seed %lu: no instance ever acquired the lease", seed);
    }
}

Test(Lease, newHolderWaitsForOldOrdersIfEnginesIgnoreFencing)
{
    RowStore store;
    Random random(1);
    Contender contender("instance-0");
    TimePoint now(1h);
    step(contender, store, now, random);
    step(contender, store, now, random);
    cr_assert(contender.lease.currentFencingToken(now, true).has_value());
    cr_assert(!contender.lease.currentFencingToken(now, false).has_value());
    cr_assert(contender.lease.currentFencingToken(now + LeaseOptions().maxOrderDuration, false).has_value());
}

Test(Lease, holderStopsBeforeExpiryWithoutRenewal)
{
    RowStore store;
    Random random(1);
    Contender contender("instance-0");
    const TimePoint now(1h);
    step(contender, store, now, random);
    step(contender, store, now, random);
    const LeaseOptions options;
    cr_assert(
        contender.lease.currentFencingToken(now + options.lifetime - options.safetyMargin - 1ms, true).has_value());
    cr_assert(!contender.lease.currentFencingToken(now + options.lifetime - options.safetyMargin, true).has_value());
}
