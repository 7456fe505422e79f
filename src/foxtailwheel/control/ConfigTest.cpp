#include "foxtailwheel/control/ConfigFollower.h"
#include "foxtailwheel/control/ConfigStore.h"

#include "foxtailwheel/base/Clock.h"

#include <criterion/criterion.h>

using namespace foxtailwheel;
using namespace std::chrono_literals;
using control::ApplyStateMachine;
using control::ApplyStatus;
using control::ApplyStep;
using control::ConfigFollower;
using control::ConfigFollowerActions;
using control::FetchText;
using control::InstallText;
using store::TransactOutcome;

namespace {

constexpr TimePoint start { 1h };

control::ConfigChangeRequest makeChange(std::uint64_t base)
{
    return { ConfigVersion(base), control::ChangeId("mine"), "mary", "note", { "~ services/encode" }, "text: 2",
        "text: 1" };
}

store::ReadResult changeRow(std::uint64_t version, const std::string& id)
{
    control::ConfigChange change;
    change.version = ConfigVersion(version);
    change.id = control::ChangeId(id);
    return { true, { { "key", control::encodeConfigChange(change), 1 } } };
}

template <class T> const T* find(const ConfigFollowerActions& actions)
{
    for (const auto& it : actions) {
        if (const auto* found = std::get_if<T>(&it))
            return found;
    }
    return nullptr;
}

} // namespace

Test(ApplyStateMachine, writesHeadTextAndAuditTogether)
{
    const ApplyStateMachine machine(makeChange(4), WallTime(5ms));
    const auto transaction = machine.transaction();
    cr_assert_eq(*transaction.conditions.front().version, 4U);
    cr_assert_eq(transaction.writes.size(), 4U);
    cr_assert_eq(transaction.writes[1].key, control::configTextKey(ConfigVersion(5)));
}

Test(ApplyStateMachine, deletesTextsBeyondRetention)
{
    const ApplyStateMachine machine(makeChange(control::retainedTexts + 4), WallTime(5ms));
    const auto transaction = machine.transaction();
    cr_assert(!transaction.writes.back().value.has_value());
    cr_assert_eq(transaction.writes.back().key, control::configTextKey(ConfigVersion(5)));
}

Test(ApplyStateMachine, reportsConflictWithConcurrentChange)
{
    ApplyStateMachine machine(makeChange(4), WallTime(5ms));
    machine.onTransact({ TransactOutcome::ConditionFailed,
        { { control::configHeadKey(), control::encodeConfigHead({ ConfigVersion(6), control::ChangeId("theirs"), "h" }),
            6 } } });
    cr_assert(machine.step() == ApplyStep::ReadBack);
    machine.onRead(changeRow(5, "theirs"));
    cr_assert(machine.result().status == ApplyStatus::Conflict);
    cr_assert(machine.result().version == ConfigVersion(6));
}

Test(ApplyStateMachine, resolvesLostResponseByChangeId)
{
    ApplyStateMachine machine(makeChange(4), WallTime(5ms));
    machine.onTransact({ TransactOutcome::Ambiguous, {} });
    machine.onRead(changeRow(5, "mine"));
    cr_assert(machine.result().status == ApplyStatus::Accepted);
    cr_assert(machine.result().version == ConfigVersion(5));
}

Test(ApplyStateMachine, acceptsRetryWithTheSameChangeId)
{
    ApplyStateMachine machine(makeChange(4), WallTime(5ms));
    machine.onTransact({ TransactOutcome::ConditionFailed, {} });
    machine.onRead(changeRow(5, "mine"));
    cr_assert(machine.result().status == ApplyStatus::Accepted);
}

Test(ApplyStateMachine, abandonedAfterLostResponseIsAmbiguous)
{
    ApplyStateMachine machine(makeChange(4), WallTime(5ms));
    machine.onTransact({ TransactOutcome::Ambiguous, {} });
    machine.abandon();
    cr_assert(machine.result().status == ApplyStatus::Ambiguous);
    ApplyStateMachine notApplied(makeChange(4), WallTime(5ms));
    notApplied.onTransact({ TransactOutcome::NotApplied, {} });
    notApplied.abandon();
    cr_assert(notApplied.result().status == ApplyStatus::Unavailable);
}

Test(ConfigFollower, fetchesFromTheTableUntilAPeerHasTheVersion)
{
    ConfigFollower follower({}, 1);
    ConfigFollowerActions actions;
    follower.onHead(true, control::ConfigHead { ConfigVersion(3), {}, "h" }, start, actions);
    cr_assert(find<FetchText>(actions) != nullptr && !find<FetchText>(actions)->peer);
    actions.clear();
    follower.onText(ConfigVersion(3), "three", start, actions);
    cr_assert(find<InstallText>(actions) != nullptr);
    cr_assert(follower.caughtUp());
    actions.clear();
    follower.onPeerVersion(InstanceId("b"), ConfigVersion(4), start, actions);
    cr_assert(find<FetchText>(actions) != nullptr && find<FetchText>(actions)->peer == InstanceId("b"));
}

Test(ConfigFollower, versionNeverDecreases)
{
    ConfigFollower follower({}, 1);
    Random random(7);
    ConfigVersion highest;
    TimePoint now = start;
    for (int i = 0; i < 20000; ++i, now += 50ms) {
        ConfigFollowerActions actions;
        const ConfigVersion version(random.below(100));
        switch (random.below(4)) {
        case 0:
            follower.onHead(random.chance(0.7), control::ConfigHead { version.next(), {}, {} }, now, actions);
            break;
        case 1:
            follower.onPeerVersion(InstanceId(std::to_string(random.below(9))), version, now, actions);
            break;
        case 2:
            follower.onText(version, random.chance(0.7) ? std::optional<std::string>("t") : std::nullopt, now, actions);
            break;
        default:
            follower.tick(now, actions);
            break;
        }
        if (const auto* install = find<InstallText>(actions))
            cr_assert(install->version > highest);
        cr_assert(follower.activeVersion() >= highest);
        highest = follower.activeVersion();
    }
}

Test(ConfigFollower, startsWithoutTheTableOnlyAfterSeveralPeers)
{
    ConfigFollower follower({}, 1);
    ConfigFollowerActions actions;
    follower.onHead(false, std::nullopt, start, actions);
    follower.onPeerVersion(InstanceId("a"), ConfigVersion(2), start, actions);
    follower.onText(ConfigVersion(2), "two", start, actions);
    cr_assert(!follower.caughtUp());
    follower.onPeerVersion(InstanceId("b"), ConfigVersion(3), start, actions);
    cr_assert(!follower.caughtUp());
    follower.onText(ConfigVersion(3), "three", start, actions);
    cr_assert(follower.caughtUp());
}

Test(ConfigFollower, retriesFailedFetchFromTheTable)
{
    ConfigFollower follower({}, 1);
    ConfigFollowerActions actions;
    follower.onPeerVersion(InstanceId("a"), ConfigVersion(2), start, actions);
    bool fetchedFromTable = false;
    TimePoint now = start;
    for (int i = 0; i < 20 && !fetchedFromTable; ++i, now += 100ms) {
        actions.clear();
        follower.onText(ConfigVersion(2), std::nullopt, now, actions);
        follower.tick(now, actions);
        const auto* fetch = find<FetchText>(actions);
        fetchedFromTable = fetch != nullptr && !fetch->peer;
    }
    cr_assert(fetchedFromTable);
}
