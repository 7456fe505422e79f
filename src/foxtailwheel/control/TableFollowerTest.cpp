#include "foxtailwheel/control/TableFollower.h"

#include "foxtailwheel/control/RowHistory.h"
#include "foxtailwheel/control/ServerRegistry.h"

#include <criterion/criterion.h>
#include <deque>

using namespace foxtailwheel;
using namespace std::chrono_literals;
using control::StoreClockBound;
using control::TableFollower;
using control::TableUpdate;
using store::FeedOutcome;
using store::FeedResult;

namespace {

struct FakeFeed final : store::ChangeFeed {
    struct Call {
        bool isReadAll = false;
        std::uint64_t after = 0;
        Duration wait {};
        Callback done;
    };

    void readAll(const std::string& /*table*/, TimePoint /*deadline*/, Callback done) override
    {
        calls.push_back({ true, 0, {}, std::move(done) });
    }
    void waitForChanges(const std::string& /*table*/, std::uint64_t after, Duration wait, TimePoint /*deadline*/,
        Callback done) override
    {
        calls.push_back({ false, after, wait, std::move(done) });
    }
    void respond(FeedResult result)
    {
        auto next = std::move(calls.front());
        calls.pop_front();
        next.done(std::move(result));
    }

    std::deque<Call> calls;
};

struct Fixture {
    Fixture()
    {
        control::TableFollowerOptions options;
        options.table = "op";
        options.maxWait = 1500ms;
        options.askTimeout = 1700ms;
        options.silenceTimeout = 2s;
        clock.set(TimePoint(1h));
        follower = std::make_unique<TableFollower>(
            feed, clock, options,
            [this](Duration d, std::function<void()> work) { scheduled.emplace_back(d, std::move(work)); },
            [this](const control::TableReplica& it) { changes = it.revision; },
            [this](const TableUpdate& it) { forwarded.push_back(it); },
            [this](const control::TableRequest& it) { asked.push_back(it); });
        follower->start();
    }

    static FeedResult rows(std::uint64_t version, std::vector<store::FeedRow> rows, Duration stamp = 10s)
    {
        return { FeedOutcome::Success, std::move(rows), version, stamp };
    }

    /// Response or update of a store that has returned from an older copy `epoch` times.
    static FeedResult inEpoch(
        std::uint64_t epoch, std::uint64_t version, std::vector<store::FeedRow> rows, Duration stamp = 10s)
    {
        return { FeedOutcome::Success, std::move(rows), version, stamp, store::StoreEpoch(epoch) };
    }

    void runScheduled(Duration passed)
    {
        clock.advance(passed);
        for (auto& it : std::exchange(scheduled, {}))
            it.second();
    }

    /// Runs what is due as time passes.
    void run(Duration time)
    {
        constexpr Duration step = 10ms;
        for (Duration passed {}; passed < time; passed += step) {
            clock.advance(step);
            for (auto& it : std::exchange(scheduled, {})) {
                it.first -= step;
                if (it.first > Duration {})
                    scheduled.push_back(std::move(it));
                else
                    it.second();
            }
        }
    }

    /// Stops polling, with the copy confirmed at the store's time `stamp`.
    void stopPolling(std::uint64_t version, Duration stamp)
    {
        follower->setPolling(false);
        feed.respond(rows(version, {}, stamp));
        scheduled.clear();
    }

    ManualClock clock;
    FakeFeed feed;
    std::vector<std::pair<Duration, std::function<void()>>> scheduled;
    std::vector<TableUpdate> forwarded;
    std::vector<control::TableRequest> asked;
    std::uint64_t changes = 0;
    std::unique_ptr<TableFollower> follower;
};

} // namespace

Test(TableFollower, readsTheTableThenPollsForChanges)
{
    Fixture fixture;
    fixture.feed.respond(Fixture::rows(5, { { "config", "one" } }));
    cr_assert_eq(fixture.feed.calls.front().after, 5);
    fixture.feed.respond(Fixture::rows(7, { { "config", "two" }, { "old", std::nullopt } }));
    cr_assert_eq(fixture.follower->table().rows.at("config"), "two");
    cr_assert_eq(fixture.changes, 2);
    cr_assert_eq(fixture.forwarded.size(), 1, "changes are forwarded, the initial read is not");
}

Test(TableFollower, coalescesChangesInQuickSuccession)
{
    Fixture fixture;
    fixture.feed.respond(Fixture::rows(5, { { "a", "1" } }));
    fixture.feed.respond(Fixture::rows(6, { { "b", "1" } }));
    cr_assert_eq(fixture.feed.calls.size(), 0, "the next call is delayed to coalesce changes");
    cr_assert_eq(fixture.scheduled.back().first, 100ms);
    fixture.runScheduled(100ms);
    cr_assert_eq(fixture.feed.calls.front().after, 6);
    fixture.feed.respond(Fixture::rows(6, {}));
    cr_assert_eq(fixture.feed.calls.size(), 1, "without changes the next call follows immediately");
}

Test(TableFollower, readsTheTableAgainAfterLostHistory)
{
    Fixture fixture;
    fixture.feed.respond(Fixture::rows(5, { { "a", "1" }, { "b", "2" } }));
    fixture.feed.respond({ FeedOutcome::HistoryLost, {}, 0, {} });
    cr_assert(fixture.feed.calls.front().isReadAll);
    fixture.feed.respond(Fixture::rows(9, { { "b", "3" } }));
    cr_assert_eq(fixture.follower->table().rows.size(), 1);
    cr_assert_eq(fixture.follower->table().rows.at("b"), "3");
}

Test(TableFollower, keepsRowsAndRetriesWhileTheStoreIsUnavailable)
{
    Fixture fixture;
    fixture.feed.respond(Fixture::rows(5, { { "a", "1" } }));
    fixture.feed.respond({ FeedOutcome::Unavailable, {}, 0, {} });
    cr_assert(!fixture.follower->table().available);
    cr_assert_eq(fixture.follower->table().rows.size(), 1);
    cr_assert(fixture.feed.calls.empty());
    fixture.runScheduled(500ms);
    cr_assert_eq(fixture.feed.calls.front().after, 5);
    cr_assert(fixture.feed.calls.front().wait == Duration {}, "a call to an unavailable store does not wait");
    fixture.feed.respond(Fixture::rows(5, {}));
    cr_assert(fixture.follower->table().available);
    cr_assert(fixture.feed.calls.front().wait == 1500ms);
}

Test(TableFollower, doesNotCallTheStoreWhileUpdatesArrive)
{
    Fixture fixture;
    fixture.feed.respond(Fixture::rows(5, { { "a", "1" } }, 10s));
    fixture.follower->setPolling(false);
    fixture.feed.respond(Fixture::rows(5, {}, 11s));
    cr_assert(fixture.feed.calls.empty());
    for (std::uint64_t i = 0; i < 5; ++i) {
        fixture.clock.advance(1500ms);
        fixture.follower->onUpdate(
            { "op", 5 + i, Fixture::rows(6 + i, { { "a", std::to_string(i) } }, 12s + i * 1500ms) });
        fixture.runScheduled(0ms);
    }
    cr_assert(fixture.feed.calls.empty());
    cr_assert_eq(fixture.follower->table().rows.at("a"), "4");
    cr_assert_gt(fixture.follower->table().asOf, TimePoint(1h) + 6s);
}

Test(TableFollower, callsTheStoreIfUpdatesStop)
{
    Fixture fixture;
    fixture.feed.respond(Fixture::rows(5, {}));
    fixture.follower->setPolling(false);
    fixture.feed.respond(Fixture::rows(5, {}));
    fixture.runScheduled(2s);
    cr_assert_eq(fixture.feed.calls.size(), 1);
    cr_assert_eq(fixture.feed.calls.front().wait, Duration {});
}

// Updates that had been queued for seconds counted as news when they arrived, so a member with an old copy waited on.
Test(TableFollower, delayedUpdatesDoNotPostponeTheCallToTheStore)
{
    Fixture fixture;
    fixture.feed.respond(Fixture::rows(5, { { "a", "1" } }, 10s));
    fixture.follower->setPolling(false);
    fixture.feed.respond(Fixture::rows(5, {}, 10s));
    fixture.clock.advance(1900ms);
    fixture.follower->onUpdate({ "op", 5, Fixture::rows(6, { { "a", "2" } }, 10100ms) });
    fixture.runScheduled(200ms);
    cr_assert_eq(fixture.feed.calls.size(), 1, "the copy is 2 s old");
    cr_assert_eq(fixture.feed.calls.front().after, 6);
}

Test(TableFollower, catchesUpOnRequestWhileItsPollerIsSilent)
{
    Fixture fixture;
    fixture.feed.respond(Fixture::rows(5, {}));
    fixture.follower->setPolling(false);
    fixture.feed.respond(Fixture::rows(5, {}));
    fixture.follower->onUpdate({ "op", 5, Fixture::rows(6, { { "a", "1" } }, 10100ms) });
    cr_assert(fixture.follower->table().confirmedByPeer);
    fixture.follower->catchUp();
    fixture.follower->catchUp();
    cr_assert_eq(fixture.feed.calls.size(), 1, "one call at a time");
    cr_assert_eq(fixture.feed.calls.front().wait, Duration {});
    fixture.feed.respond(Fixture::rows(7, { { "b", "1" } }, 10200ms));
    cr_assert(!fixture.follower->table().confirmedByPeer);
    cr_assert_eq(fixture.follower->table().rows.count("b"), 1);
}

Test(TableFollower, callsTheStoreAfterAMissedUpdate)
{
    Fixture fixture;
    fixture.feed.respond(Fixture::rows(5, { { "a", "1" } }));
    fixture.follower->setPolling(false);
    fixture.feed.respond(Fixture::rows(5, {}));
    fixture.follower->onUpdate({ "op", 8, Fixture::rows(9, { { "b", "2" } }) });
    cr_assert_eq(fixture.follower->table().rows.count("b"), 0, "an update with a gap must not be applied");
    cr_assert_eq(fixture.feed.calls.front().after, 5);
}

Test(TableFollower, ignoresUpdatesOfEarlierVersions)
{
    Fixture fixture;
    fixture.feed.respond(Fixture::rows(5, { { "a", "new" } }));
    fixture.follower->onUpdate({ "op", 2, Fixture::rows(4, { { "a", "old" } }) });
    cr_assert_eq(fixture.follower->table().rows.at("a"), "new");
}

// A poller forwarded each version of a large configuration as a whole, which filled its link for seconds: members took
// it late, and heartbeats waited behind it.
Test(TableFollower, changeOfALargeRowIsForwardedAsDelta)
{
    Fixture poller;
    Fixture member;
    std::string before(200000, '.');
    for (std::size_t i = 0; i < before.size(); i += 40)
        before.replace(i, 8, std::to_string(10000000 + i));
    auto after = before;
    after.replace(100, 10, "changed").replace(150000, 3, "and here");
    for (auto* it : { &poller, &member })
        it->feed.respond(Fixture::rows(5, { { "config", before } }));
    poller.feed.respond(Fixture::rows(7, { { "config", after } }));
    const auto& update = poller.forwarded.back();
    cr_assert(control::limitUpdate(update, 100, 200000) == update, "a hundred members get it for the size of the row");
    member.follower->onUpdate(update);
    cr_assert_eq(member.follower->table().rows.at("config"), after);
}

Test(TableFollower, deltaForAnotherRowIsReadFromTheStore)
{
    Fixture poller;
    Fixture member;
    poller.feed.respond(Fixture::rows(5, { { "config", std::string(5000, 'a') } }));
    member.feed.respond(Fixture::rows(6, { { "config", std::string(5000, 'b') } }));
    member.follower->setPolling(false);
    member.feed.respond(Fixture::rows(6, {}));
    poller.feed.respond(Fixture::rows(7, { { "config", std::string(5000, 'a') + "c" } }));
    member.follower->onUpdate(poller.forwarded.back());
    cr_assert_eq(member.follower->table().rows.at("config"), std::string(5000, 'b'));
    cr_assert_eq(member.feed.calls.front().after, 6);
}

Test(TableFollower, announcedChangeIsReadFromTheStore)
{
    Fixture fixture;
    fixture.feed.respond(Fixture::rows(5, { { "a", "1" } }));
    fixture.follower->setPolling(false);
    fixture.feed.respond(Fixture::rows(5, {}));
    const TableUpdate large { "op", 5, Fixture::rows(8, { { "a", std::string(3000, 'x') } }, 12s) };
    const auto announcement = control::limitUpdate(large, 18, 50000);
    cr_assert(announcement.changes.rows.empty());
    fixture.follower->onUpdate(announcement);
    cr_assert_eq(fixture.feed.calls.size(), 1);
    cr_assert_eq(fixture.feed.calls.front().after, 5);
    fixture.follower->onUpdate({ "op", 8, Fixture::rows(9, { { "a", "3" } }, 13s) });
    fixture.feed.respond(Fixture::rows(8, { { "a", "2" } }, 12s));
    fixture.runScheduled(100ms);
    cr_assert_eq(fixture.feed.calls.front().after, 8, "a change that was missed during the call is read as well");
    fixture.feed.respond(Fixture::rows(9, { { "a", "3" } }, 13s));
    cr_assert(fixture.feed.calls.empty());
    cr_assert_eq(fixture.follower->table().rows.at("a"), "3");
}

Test(TableFollower, ignoresResponseOlderThanAnUpdate)
{
    Fixture fixture;
    fixture.feed.respond(Fixture::rows(5, { { "keys", "k1,k2" }, { "server", "ready" } }, 10s));
    fixture.follower->onUpdate({ "op", 5, Fixture::rows(9, { { "keys", "k1" }, { "server", std::nullopt } }, 12s) });
    fixture.feed.respond(Fixture::rows(7, { { "keys", "k1,k2,k3" }, { "server", "ready" } }, 11s));
    cr_assert_eq(fixture.follower->table().rows.at("keys"), "k1", "a withdrawn key is in use again");
    cr_assert_eq(fixture.follower->table().rows.count("server"), 0, "a server that left is in use again");
    cr_assert_eq(fixture.feed.calls.front().after, 9);
}

Test(TableFollower, readsTheTableAgainWithoutTakingUpdatesInBetween)
{
    Fixture fixture;
    fixture.feed.respond(Fixture::rows(5, { { "a", "1" } }));
    fixture.feed.respond({ FeedOutcome::HistoryLost, {}, 0, {} });
    fixture.follower->onUpdate({ "op", 5, Fixture::rows(8, { { "a", "2" } }, 12s) });
    fixture.feed.respond(Fixture::rows(9, { { "a", "3" } }));
    cr_assert_eq(fixture.follower->table().rows.at("a"), "3");
    cr_assert_eq(fixture.feed.calls.front().after, 9);
}

// A store returned from an older copy and gave out versions again. Changes with versions that had been read before its
// return were never read: routes that had been added were not served.
// An update that arrived while the table was read completely was dropped, and the response was older than it.
Test(TableFollower, changeThatIsAnnouncedDuringACompleteReadIsReadAfterIt)
{
    Fixture fixture;
    fixture.follower->setPolling(false);
    fixture.follower->onUpdate({ "op", 5, Fixture::rows(7, { { "a", "2" } }, 11s) });
    fixture.feed.respond(Fixture::rows(6, { { "a", "1" } }, 10s));
    fixture.runScheduled(100ms);
    cr_assert_eq(fixture.feed.calls.size(), 1);
    cr_assert_eq(fixture.feed.calls.front().after, 6);
}

// What a poller found in a complete read, after the store had dropped its history, reached the others 1.2 s later.
Test(TableFollower, changeThatIsFoundInACompleteReadIsAnnounced)
{
    Fixture fixture;
    fixture.feed.respond(Fixture::rows(5, { { "a", "1" } }));
    fixture.feed.respond({ FeedOutcome::HistoryLost, {}, 0, {} });
    fixture.feed.respond(Fixture::rows(9, { { "a", "2" } }));
    cr_assert_eq(fixture.forwarded.size(), 1);
    Fixture other;
    other.feed.respond(Fixture::rows(5, { { "a", "1" } }));
    other.follower->setPolling(false);
    other.feed.respond(Fixture::rows(5, {}));
    other.follower->onUpdate(fixture.forwarded[0]);
    cr_assert_eq(other.feed.calls.size(), 1);
    cr_assert_eq(other.feed.calls.front().after, 5);
}

Test(TableFollower, restoredStoreIsReadCompletelyThoughItsVersionsPassedTheOldOne)
{
    Fixture fixture;
    fixture.feed.respond(Fixture::inEpoch(1, 50, { { "a", "lost" }, { "b", "1" }, { "c", "1" } }));
    fixture.feed.respond({ FeedOutcome::Unavailable, {}, 0, {} });
    fixture.runScheduled(500ms);
    fixture.feed.respond(Fixture::inEpoch(2, 53, { { "c", "3" } }, 12s));
    cr_assert_eq(fixture.feed.calls.size(), 1);
    cr_assert(fixture.feed.calls.front().isReadAll, "changes after a version of the old epoch were taken");
    cr_assert_eq(fixture.follower->table().rows.at("a"), "lost", "the rows stay until others are read");
    fixture.feed.respond(Fixture::inEpoch(2, 53, { { "b", "2" }, { "c", "3" } }, 12s));
    cr_assert_eq(fixture.follower->table().rows.at("b"), "2");
    cr_assert_eq(fixture.follower->table().rows.count("a"), 0);
    cr_assert_eq(fixture.feed.calls.front().after, 53);
}

Test(TableFollower, restoredStoreIsFollowedFromItsLowerVersion)
{
    Fixture fixture;
    fixture.feed.respond(Fixture::inEpoch(1, 50, { { "a", "1" } }));
    fixture.feed.respond({ FeedOutcome::HistoryLost, {}, 0, {}, store::StoreEpoch(2) });
    cr_assert(fixture.feed.calls.front().isReadAll);
    fixture.feed.respond(Fixture::inEpoch(2, 40, { { "a", "0" } }, 12s));
    cr_assert_eq(fixture.feed.calls.front().after, 40, "changes up to version 50 would be missed");
    fixture.feed.respond(Fixture::inEpoch(2, 45, { { "a", "2" } }, 13s));
    cr_assert_eq(fixture.follower->table().rows.at("a"), "2");
    cr_assert_eq(fixture.follower->table().version, 45);
}

Test(TableFollower, versionsThatGoBackAreReadCompletelyWithoutAnEpoch)
{
    Fixture fixture;
    fixture.feed.respond(Fixture::rows(50, { { "a", "1" } }));
    fixture.feed.respond(Fixture::rows(40, {}, 12s));
    cr_assert(fixture.feed.calls.front().isReadAll);
    fixture.feed.respond(Fixture::rows(40, { { "a", "0" } }, 12s));
    cr_assert_eq(fixture.feed.calls.front().after, 40);
}

// Members rejected what the poller of their zone forwarded after the store had returned, to the end of the day.
Test(TableFollower, updateOfANewerEpochLeadsToACompleteRead)
{
    Fixture fixture;
    fixture.feed.respond(Fixture::inEpoch(1, 50, { { "a", "1" } }));
    fixture.follower->setPolling(false);
    fixture.feed.respond(Fixture::inEpoch(1, 50, {}));
    fixture.follower->onUpdate({ "op", 41, Fixture::inEpoch(2, 42, { { "a", "2" } }, 12s) });
    cr_assert_eq(fixture.follower->table().rows.at("a"), "1", "changes of one epoch were applied to rows of another");
    fixture.runScheduled(250ms);
    cr_assert_eq(fixture.feed.calls.size(), 1);
    cr_assert(fixture.feed.calls.front().isReadAll);
    fixture.follower->onUpdate({ "op", 42, Fixture::inEpoch(2, 43, { { "a", "3" } }, 13s) });
    fixture.feed.respond(Fixture::inEpoch(2, 43, { { "a", "3" } }, 13s));
    cr_assert_eq(fixture.follower->table().rows.at("a"), "3");
    fixture.follower->onUpdate({ "op", 43, Fixture::inEpoch(2, 44, { { "a", "4" } }, 14s) });
    cr_assert_eq(fixture.follower->table().rows.at("a"), "4");
}

Test(TableFollower, updatesOfAnOlderEpochAreIgnored)
{
    Fixture fixture;
    fixture.feed.respond(Fixture::inEpoch(2, 40, { { "a", "new" } }));
    fixture.follower->setPolling(false);
    fixture.feed.respond(Fixture::inEpoch(2, 40, {}));
    const auto asOf = fixture.follower->table().asOf;
    fixture.clock.advance(1s);
    fixture.follower->onUpdate({ "op", 40, Fixture::inEpoch(1, 51, { { "a", "old" } }, 11s) });
    cr_assert_eq(fixture.follower->table().rows.at("a"), "new");
    cr_assert_eq(fixture.follower->table().version, 40);
    cr_assert(fixture.follower->table().asOf == asOf);
    cr_assert(fixture.feed.calls.empty());
}

// The response had been sent before the store was away and arrived after the news of its return.
Test(TableFollower, delayedResponseOfAnOlderEpochIsIgnored)
{
    Fixture fixture;
    fixture.feed.respond(Fixture::inEpoch(1, 50, { { "a", "1" } }));
    fixture.follower->onUpdate({ "op", 0, Fixture::inEpoch(2, 40, {}, 12s) });
    fixture.feed.respond(Fixture::inEpoch(1, 51, { { "a", "lost" } }, 11s));
    cr_assert_eq(fixture.follower->table().rows.at("a"), "1");
    cr_assert(fixture.feed.calls.front().isReadAll);
    fixture.feed.respond(Fixture::inEpoch(2, 41, { { "a", "2" } }, 12s));
    cr_assert_eq(fixture.follower->table().rows.at("a"), "2");
    cr_assert_eq(fixture.feed.calls.front().after, 41);
}

// A response without an epoch was taken for one of a store that had returned from an older copy.
Test(TableFollower, responseWithoutAnEpochIsOfTheKnownOne)
{
    Fixture fixture;
    fixture.feed.respond(Fixture::inEpoch(3, 50, { { "a", "1" } }));
    fixture.feed.respond(Fixture::inEpoch(0, 51, { { "a", "2" } }, 11s));
    cr_assert_eq(fixture.follower->table().rows.at("a"), "2");
    cr_assert_eq(fixture.follower->table().epoch, store::StoreEpoch(3));
    cr_assert(fixture.follower->table().lastUnavailableAt == TimePoint {});
    fixture.runScheduled(100ms);
    cr_assert(!fixture.feed.calls.front().isReadAll);
    cr_assert_eq(fixture.feed.calls.front().after, 51);
}

// The call began before the news of the store's return and was answered after it, as a difference to a lost version.
Test(TableFollower, changesAfterALostVersionAreNotTaken)
{
    Fixture fixture;
    fixture.feed.respond(Fixture::inEpoch(1, 50, { { "a", "1" }, { "b", "1" } }));
    fixture.follower->onUpdate({ "op", 0, Fixture::inEpoch(2, 40, {}, 12s) });
    fixture.feed.respond(Fixture::inEpoch(2, 52, { { "a", "2" } }, 12s));
    cr_assert_eq(fixture.follower->table().rows.at("a"), "1");
    cr_assert(fixture.feed.calls.front().isReadAll);
}

Test(TableFollower, pollerAnnouncesANewEpoch)
{
    Fixture poller;
    Fixture member;
    for (auto* it : { &poller, &member })
        it->feed.respond(Fixture::inEpoch(1, 50, { { "a", "1" } }));
    member.follower->setPolling(false);
    member.feed.respond(Fixture::inEpoch(1, 50, {}));
    poller.feed.respond({ FeedOutcome::HistoryLost, {}, 0, {}, store::StoreEpoch(2) });
    cr_assert_eq(poller.forwarded.size(), 1);
    member.follower->onUpdate(control::limitUpdate(poller.forwarded.back(), 10, 1000));
    member.runScheduled(250ms);
    cr_assert_eq(member.feed.calls.size(), 1);
    cr_assert(member.feed.calls.front().isReadAll);
}

// Servers and operators write again what was lost; a member that did not see the store away has to wait for them, too.
Test(TableFollower, newEpochCountsAsRecoveryOfTheStore)
{
    Fixture fixture;
    fixture.feed.respond(Fixture::inEpoch(1, 50, { { "a", "1" } }));
    cr_assert(fixture.follower->table().lastUnavailableAt == TimePoint {});
    fixture.clock.advance(5s);
    fixture.feed.respond({ FeedOutcome::HistoryLost, {}, 0, {}, store::StoreEpoch(2) });
    fixture.feed.respond(Fixture::inEpoch(2, 40, {}, 15s));
    cr_assert(fixture.follower->table().recoveredAt == fixture.clock.now());
    cr_assert(fixture.follower->table().lastUnavailableAt == fixture.clock.now());
}

// The clock of the copy was ahead, so the copy of the table seemed to be current for longer than it was.
Test(TableFollower, ageIsNotDerivedFromTheClockOfAnotherEpoch)
{
    Fixture fixture;
    fixture.feed.respond(Fixture::inEpoch(1, 50, { { "a", "1" } }, 10s));
    fixture.feed.respond({ FeedOutcome::HistoryLost, {}, 0, {}, store::StoreEpoch(2) });
    fixture.feed.respond(Fixture::inEpoch(2, 40, { { "a", "1" } }, 100s));
    cr_assert(fixture.follower->table().asOf <= fixture.clock.now());
}

// A revoked key was accepted 3.1 s after the acknowledgement: the poller of the zone was silent, the own call to the
// store failed once, and the next one was 1.2 to 2.4 s away.
Test(TableFollower, oneFailedCallWhileThePollerIsSilentIsRepeatedAtOnce)
{
    Fixture fixture;
    fixture.feed.respond(Fixture::rows(5, { { "config", "one" } }, 10s));
    fixture.stopPolling(5, 10s);
    fixture.follower->onUpdate({ "op", 5, Fixture::rows(5, {}, 10s) });
    fixture.feed.calls.clear();
    fixture.follower->catchUp();
    fixture.feed.respond({ FeedOutcome::Unavailable, {}, 0, {} });
    fixture.run(150ms);
    cr_assert_eq(fixture.feed.calls.size(), 1);
    for (int i = 0; i < 8; ++i) {
        fixture.feed.respond({ FeedOutcome::Unavailable, {}, 0, {} });
        fixture.run(2s);
        cr_assert_eq(fixture.feed.calls.size(), 1);
    }
    fixture.feed.respond({ FeedOutcome::Unavailable, {}, 0, {} });
    fixture.run(950ms);
    cr_assert(fixture.feed.calls.empty(), "a store that is away is called only now and then");
}

// Instances that the store turned away, in a zone whose poller it turned away as well, heard nothing at all.
Test(TableFollower, instancesThatTheStoreTurnsAwayHearFromOthers)
{
    Fixture other;
    other.feed.respond(Fixture::rows(5, { { "config", "one" }, { "old", "x" } }, 10s));
    Fixture poller;
    poller.feed.respond(Fixture::rows(5, { { "config", "one" }, { "old", "x" } }, 10s));
    Fixture member;
    member.feed.respond(Fixture::rows(5, { { "config", "one" }, { "old", "x" } }, 10s));
    member.stopPolling(5, 10s);
    other.clock.advance(300ms);
    other.feed.respond(Fixture::rows(9, { { "config", "two" }, { "old", std::nullopt } }, 10300ms));
    poller.clock.advance(500ms);
    member.clock.advance(500ms);
    other.clock.advance(200ms);
    poller.feed.respond({ FeedOutcome::Unavailable, {}, 0, {} });
    cr_assert_eq(poller.asked.size(), 1);
    const auto answer = other.follower->answer(poller.asked[0]);
    cr_assert(answer.has_value());
    cr_assert(!answer->complete, "the change is enough");
    poller.clock.advance(100ms);
    poller.follower->onUpdate(*answer);
    cr_assert_eq(poller.follower->table().rows.at("config"), "two");
    cr_assert_eq(poller.follower->table().rows.count("old"), 0);
    cr_assert_leq(poller.follower->table().asOf, TimePoint(1h) + 300ms, "no younger than the copy that it comes from");
    cr_assert_geq(poller.follower->table().asOf, TimePoint(1h) + 200ms);
    cr_assert_eq(poller.forwarded.size(), 1);
    member.follower->onUpdate(poller.forwarded[0]);
    cr_assert_eq(member.follower->table().rows.at("config"), "two");
    cr_assert_eq(member.forwarded.size(), 0);
}

Test(TableFollower, instanceAsksOthersBeforeItsCopyIsTooOldAndGoesOnWhileItIs)
{
    Fixture fixture;
    fixture.feed.respond(Fixture::rows(5, { { "config", "one" } }, 10s));
    fixture.follower->setPolling(false);
    fixture.feed.respond(Fixture::rows(5, {}, 10s));
    fixture.run(1650ms);
    cr_assert(fixture.asked.empty());
    fixture.run(100ms);
    cr_assert_eq(fixture.asked.size(), 1);
    cr_assert(fixture.feed.calls.empty());
    fixture.run(250ms);
    cr_assert_eq(fixture.feed.calls.size(), 1, "the store is called as before");
    fixture.run(3s);
    cr_assert_geq(fixture.asked.size(), 4);
    cr_assert_leq(fixture.asked.size(), 7);
}

// An answer that was on its way for long must not make the copy seem younger than it is.
Test(TableFollower, onlyTheAnswerToTheLastRequestCounts)
{
    Fixture other;
    other.feed.respond(Fixture::rows(9, { { "config", "two" } }, 10s));
    Fixture fixture;
    fixture.feed.respond(Fixture::rows(5, { { "config", "one" } }, 10s));
    fixture.feed.respond({ FeedOutcome::Unavailable, {}, 0, {} });
    const auto answer = other.follower->answer(fixture.asked.at(0));
    cr_assert(answer && answer->complete, "changes before the own first read are not known one by one");
    fixture.run(300ms);
    fixture.feed.respond({ FeedOutcome::Unavailable, {}, 0, {} });
    cr_assert_eq(fixture.asked.size(), 2);
    fixture.follower->onUpdate(*answer);
    cr_assert_eq(fixture.follower->table().rows.at("config"), "one");
    cr_assert(!other.follower->answer({ "op", 9, {}, 3, 50ms }), "it knows as much");
    cr_assert(!other.follower->answer({ "op", 3, store::StoreEpoch(1), 3, 50ms }), "it knows of a newer epoch");
}

// An instance that starts while the store turns it away gets the whole table, also of a newer epoch.
Test(TableFollower, answerBringsTheWholeTableToAnInstanceWithoutACopy)
{
    Fixture other;
    other.feed.respond(Fixture::inEpoch(2, 9, { { "config", "two" } }));
    for (const bool hasRead : { false, true }) {
        Fixture fixture;
        if (hasRead)
            fixture.feed.respond(Fixture::inEpoch(1, 20, { { "config", "one" }, { "old", "x" } }));
        fixture.feed.respond({ FeedOutcome::Unavailable, {}, 0, {} });
        fixture.follower->onUpdate(other.follower->answer(fixture.asked.at(0)).value());
        cr_assert_eq(fixture.follower->table().rows.size(), 1);
        cr_assert_eq(fixture.follower->table().rows.at("config"), "two");
        cr_assert_eq(fixture.follower->table().epoch.value(), 2);
        fixture.run(200ms);
        cr_assert_eq(fixture.feed.calls.front().after, 9);
    }
}

Test(RowHistory, bringsCopiesUpToDateThatAreNotTooOld)
{
    control::RowHistory history;
    const std::map<std::string, std::string> table { { "a", "1" }, { "b", "2" } };
    history.restart(5);
    history.add({ { "a", "1" } }, 6);
    history.add({ { "c", std::nullopt } }, 8);
    cr_assert(!history.since(4, table));
    cr_assert(history.since(5, table) == std::vector<store::FeedRow>({ { "a", "1" }, { "c", std::nullopt } }));
    cr_assert(history.since(6, table) == std::vector<store::FeedRow>({ { "c", std::nullopt } }));
    cr_assert(history.since(8, table)->empty());
    std::vector<store::FeedRow> many;
    for (std::size_t i = 0; i <= control::RowHistory::maxRows; ++i)
        many.push_back({ std::to_string(i), "x" });
    history.add(many, 9);
    cr_assert(!history.since(8, table), "memory is bounded");
}

Test(StoreClockBound, neverExceedsTheTimeOfTheResponse)
{
    StoreClockBound bound;
    const TimePoint t(1h);
    // The store's clock is 1 h - 10 s behind; calls take from 1 ms to 900 ms each way.
    const auto truth = [t](Duration stamp) { return t + stamp - 10s; };
    const std::vector<std::pair<Duration, Duration>> calls { { 0ms, 10s + 500ms }, { 2s, 12s + 1ms },
        { 3s, 13s + 900ms }, { 6s, 17500ms } };
    for (const auto& [sent, stamp] : calls) {
        const auto asOf = bound.observe(t + sent, stamp);
        cr_assert_leq(asOf, truth(stamp));
        cr_assert_geq(asOf, t + sent);
    }
    cr_assert_geq(*bound.observeForwarded(20s), truth(20s) - 1ms);
    cr_assert(!StoreClockBound().observeForwarded(20s));
}

namespace {

serving::AnnouncedServer entry(const std::string& id, bool leaving = false)
{
    return { { BackendServerId(id), "127.0.0.1", 9000, AvailabilityZoneId("a") }, ServiceId("desk"), leaving, 6 };
}

std::map<BackendServerId, serving::AnnouncedServer> entries(const std::vector<serving::AnnouncedServer>& servers)
{
    std::map<BackendServerId, serving::AnnouncedServer> out;
    for (const auto& it : servers)
        out.emplace(it.server.id, it);
    return out;
}

} // namespace

Test(ServerRegistry, removesServerWithItsEntry)
{
    control::ServerRegistry registry;
    const TimePoint t(1h);
    registry.update(entries({ entry("s1"), entry("s2") }), {}, t, t);
    registry.update(entries({ entry("s2") }), {}, t, t + 10s);
    cr_assert_eq(registry.servers().size(), 1);
}

// A server that left soon after the store had recovered was called 2.3 s later; the bound was 2 s.
Test(ServerRegistry, serverThatLeavesAfterAnOutageIsNotRetainedBeyondTheBound)
{
    control::ServerRegistry registry(1500ms);
    const TimePoint t(1h);
    registry.update(entries({ entry("s1"), entry("s2") }), {}, t, t);
    const auto recoveredAt = t + 20s;
    registry.update(entries({ entry("s1"), entry("s2") }), recoveredAt - 1s, recoveredAt, recoveredAt);
    registry.update(entries({ entry("s2") }), recoveredAt - 1s, recoveredAt, recoveredAt + 200ms);
    registry.update(entries({ entry("s2") }), recoveredAt - 1s, recoveredAt, recoveredAt + 1s);
    cr_assert_eq(registry.servers().size(), 2, "its entry may have expired in the outage");
    cr_assert(registry.expire(recoveredAt + 1700ms));
    cr_assert_eq(registry.servers().size(), 1);
}

Test(ServerRegistry, retainsEntriesThatExpiredDuringAnOutage)
{
    control::ServerRegistry registry;
    const TimePoint t(1h);
    registry.update(entries({ entry("s1"), entry("s2"), entry("s3", true) }), {}, t, t);
    const auto recoveredAt = t + 20s;
    registry.update(entries({}), recoveredAt - 1s, recoveredAt, recoveredAt + 100ms);
    cr_assert_eq(registry.servers().size(), 2, "a leaving server is not retained");
    registry.update(entries({ entry("s1") }), recoveredAt - 1s, recoveredAt, recoveredAt + 1s);
    cr_assert_eq(registry.servers().size(), 2);
    cr_assert(registry.expire(recoveredAt + 2200ms));
    cr_assert_eq(registry.servers().size(), 1);
    cr_assert(!registry.nextExpiry());
}

namespace {

serving::AnnouncedServer writtenEntry(const std::string& id, std::uint64_t sequence, bool leaving = false,
    WallTime startedAt = WallTime(std::chrono::milliseconds(1000)))
{
    auto server = entry(id, leaving);
    server.sequence = sequence;
    server.startedAt = startedAt;
    return server;
}

std::vector<std::string> readyServers(const control::ServerRegistry& registry)
{
    std::vector<std::string> ids;
    for (const auto& it : registry.servers()) {
        if (!it.leaving)
            ids.push_back(it.server.id.value());
    }
    return ids;
}

} // namespace

// The copy from which the store returned still had the server as ready, so it got calls again after it had left.
Test(ServerRegistry, serverThatLeftDoesNotComeBackWithAnOlderCopy)
{
    control::ServerRegistry registry;
    const TimePoint t(1h);
    const std::vector<std::string> onlyS3 { "s3" };
    registry.update(entries({ writtenEntry("s1", 4), writtenEntry("s2", 4), writtenEntry("s3", 4) }), {}, t, t);
    registry.update(
        entries({ writtenEntry("s1", 9, true), writtenEntry("s2", 4), writtenEntry("s3", 4) }), {}, t, t + 4s);
    registry.update(entries({ writtenEntry("s1", 9, true), writtenEntry("s3", 4) }), {}, t, t + 5s);
    cr_assert(readyServers(registry) == onlyS3);
    const auto copy = entries({ writtenEntry("s1", 4), writtenEntry("s2", 4), writtenEntry("s3", 4) });
    const auto recoveredAt = t + 8s;
    registry.onStoreRestored();
    registry.update(copy, recoveredAt, recoveredAt, recoveredAt);
    cr_assert(readyServers(registry) == onlyS3);
    registry.update(copy, recoveredAt, recoveredAt, recoveredAt + 3s);
    cr_assert(readyServers(registry) == onlyS3, "the entries have not been written again");
    cr_assert_eq(registry.outdatedEntries(), 2);
}

Test(ServerRegistry, serverThatWritesAgainAfterARestorationIsUsed)
{
    control::ServerRegistry registry;
    const TimePoint t(1h);
    const std::vector<std::string> both { "s1", "s2" };
    registry.update(entries({ writtenEntry("s1", 4), writtenEntry("s2", 4) }), {}, t, t);
    registry.update(entries({ writtenEntry("s1", 9, true) }), {}, t, t + 4s);
    const auto recoveredAt = t + 8s;
    registry.onStoreRestored();
    registry.update(entries({ writtenEntry("s1", 4), writtenEntry("s2", 4) }), recoveredAt, recoveredAt, recoveredAt);
    cr_assert(readyServers(registry).empty());
    const auto restarted = WallTime(std::chrono::milliseconds(2000));
    registry.update(entries({ writtenEntry("s1", 1, false, restarted), writtenEntry("s2", 12) }), recoveredAt,
        recoveredAt, recoveredAt + 1s);
    cr_assert(readyServers(registry) == both);
    cr_assert_eq(registry.outdatedEntries(), 0);
}

// A living server writes its entry again only if more than its sequence has changed.
Test(ServerRegistry, outdatedEntryThatPersistsIsUsedAgain)
{
    control::ServerRegistry registry;
    const TimePoint t(1h);
    registry.update(entries({ writtenEntry("s1", 4) }), {}, t, t);
    registry.update(entries({}), {}, t, t + 4s);
    registry.onStoreRestored();
    registry.update(entries({ writtenEntry("s1", 4) }), t + 8s, t + 8s, t + 8s);
    cr_assert(readyServers(registry).empty());
    cr_assert(registry.nextExpiry() == t + 8s + control::ServerRegistry::outdatedEntryPeriod);
    cr_assert(registry.expire(t + 8s + control::ServerRegistry::outdatedEntryPeriod));
    cr_assert_eq(readyServers(registry).size(), 1);
    cr_assert(!registry.nextExpiry());
}

Test(ServerRegistry, olderStartTimeWithoutARestorationIsTaken)
{
    control::ServerRegistry registry;
    const TimePoint t(1h);
    registry.update(entries({ writtenEntry("s1", 4) }), {}, t, t);
    registry.update(entries({}), {}, t, t + 1s);
    registry.update(entries({ writtenEntry("s1", 1, false, WallTime {}) }), {}, t, t + 2s);
    cr_assert_eq(readyServers(registry).size(), 1, "the clock of a machine may be set back");
}

Test(ServerRegistry, memoryOfDepartedServersIsBounded)
{
    control::ServerRegistry registry;
    const TimePoint t(1h);
    const auto total = control::ServerRegistry::maxDepartures + 10;
    std::vector<serving::AnnouncedServer> servers;
    for (std::size_t i = 0; i < total; ++i)
        servers.push_back(writtenEntry("s" + std::to_string(i), 4));
    registry.update(entries(servers), {}, t, t);
    registry.update(entries({}), {}, t, t + 1s);
    registry.onStoreRestored();
    registry.update(entries(servers), t + 2s, t + 2s, t + 2s);
    cr_assert_eq(registry.outdatedEntries(), control::ServerRegistry::maxDepartures);
}
