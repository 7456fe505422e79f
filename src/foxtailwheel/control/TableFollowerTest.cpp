#include "foxtailwheel/control/TableFollower.h"

#include "foxtailwheel/control/ServerWatch.h"

#include <criterion/criterion.h>
#include <deque>

using namespace foxtailwheel;
using namespace std::chrono_literals;
using control::StoreClockBound;
using control::TableFollower;
using control::TableNews;
using store::FeedAnswer;
using store::FeedEnd;

namespace {

struct FakeFeed final : store::Feed {
    struct Asked {
        bool whole = false;
        std::uint64_t after = 0;
        Duration wait {};
        Done done;
    };

    void readAll(const std::string& /*table*/, TimePoint /*deadline*/, Done done) override
    {
        asked.push_back({ true, 0, {}, std::move(done) });
    }
    void changes(
        const std::string& /*table*/, std::uint64_t after, Duration wait, TimePoint /*deadline*/, Done done) override
    {
        asked.push_back({ false, after, wait, std::move(done) });
    }
    void answer(FeedAnswer answer)
    {
        auto next = std::move(asked.front());
        asked.pop_front();
        next.done(std::move(answer));
    }

    std::deque<Asked> asked;
};

struct World {
    World()
    {
        control::FollowerOptions options;
        options.table = "op";
        options.wait = 1500ms;
        options.silence = 2s;
        clock.set(TimePoint(1h));
        follower = std::make_unique<TableFollower>(
            feed, clock, options,
            [this](Duration d, std::function<void()> work) { later.emplace_back(d, std::move(work)); },
            [this](const control::FollowedTable&, bool rows) { changes += rows ? 1 : 0; },
            [this](const TableNews& it) { told.push_back(it); });
        follower->start();
    }

    static FeedAnswer rows(std::uint64_t version, std::vector<store::FeedRow> rows, Duration stamp = 10s)
    {
        return { FeedEnd::Answered, std::move(rows), version, stamp };
    }

    void runLater(Duration passed)
    {
        clock.advance(passed);
        for (auto& it : std::exchange(later, {}))
            it.second();
    }

    ManualClock clock;
    FakeFeed feed;
    std::vector<std::pair<Duration, std::function<void()>>> later;
    std::vector<TableNews> told;
    int changes = 0;
    std::unique_ptr<TableFollower> follower;
};

} // namespace

Test(TableFollower, readsTheTableThenAsksForChanges)
{
    World world;
    world.feed.answer(World::rows(5, { { "config", "one" } }));
    cr_assert_eq(world.feed.asked.front().after, 5);
    world.feed.answer(World::rows(7, { { "config", "two" }, { "old", std::nullopt } }));
    cr_assert_eq(world.follower->table().rows.at("config"), "two");
    cr_assert_eq(world.changes, 2);
    cr_assert_eq(world.told.size(), 1, "changes are told to the others, the first reading is not");
}

Test(TableFollower, changesInQuickSuccessionComeWithOneCall)
{
    World world;
    world.feed.answer(World::rows(5, { { "a", "1" } }));
    world.feed.answer(World::rows(6, { { "b", "1" } }));
    cr_assert_eq(world.feed.asked.size(), 0, "others may change within a moment");
    cr_assert_eq(world.later.back().first, 100ms);
    world.runLater(100ms);
    cr_assert_eq(world.feed.asked.front().after, 6);
    world.feed.answer(World::rows(6, {}));
    cr_assert_eq(world.feed.asked.size(), 1, "without changes the next call follows at once");
}

Test(TableFollower, aLostHistoryIsReadAnew)
{
    World world;
    world.feed.answer(World::rows(5, { { "a", "1" }, { "b", "2" } }));
    world.feed.answer({ FeedEnd::HistoryLost, {}, 0, {} });
    cr_assert(world.feed.asked.front().whole);
    world.feed.answer(World::rows(9, { { "b", "3" } }));
    cr_assert_eq(world.follower->table().rows.size(), 1);
    cr_assert_eq(world.follower->table().rows.at("b"), "3");
}

Test(TableFollower, anUnavailableStoreIsAskedAgainAfterAPauseAndTheRowsStay)
{
    World world;
    world.feed.answer(World::rows(5, { { "a", "1" } }));
    world.feed.answer({ FeedEnd::Unavailable, {}, 0, {} });
    cr_assert(!world.follower->table().available);
    cr_assert_eq(world.follower->table().rows.size(), 1);
    cr_assert(world.feed.asked.empty());
    world.runLater(500ms);
    cr_assert_eq(world.feed.asked.front().after, 5);
    cr_assert(world.feed.asked.front().wait == Duration {}, "its return is to be seen soon");
    world.feed.answer(World::rows(5, {}));
    cr_assert(world.follower->table().available);
    cr_assert(world.feed.asked.front().wait == 1500ms);
}

Test(TableFollower, oneThatIsToldAsksNothingWhileNewsCome)
{
    World world;
    world.feed.answer(World::rows(5, { { "a", "1" } }, 10s));
    world.follower->setAsking(false);
    world.feed.answer(World::rows(5, {}, 11s));
    cr_assert(world.feed.asked.empty());
    for (std::uint64_t i = 0; i < 5; ++i) {
        world.clock.advance(1500ms);
        world.follower->onNews({ "op", 5 + i, World::rows(6 + i, { { "a", std::to_string(i) } }, 12s + i * 1500ms) });
        world.runLater(0ms);
    }
    cr_assert(world.feed.asked.empty());
    cr_assert_eq(world.follower->table().rows.at("a"), "4");
    cr_assert_gt(world.follower->table().asOf, TimePoint(1h) + 6s);
}

Test(TableFollower, oneThatHearsNothingAsksTheStore)
{
    World world;
    world.feed.answer(World::rows(5, {}));
    world.follower->setAsking(false);
    world.feed.answer(World::rows(5, {}));
    world.runLater(2s);
    cr_assert_eq(world.feed.asked.size(), 1);
    cr_assert_eq(world.feed.asked.front().wait, Duration {});
}

Test(TableFollower, oneThatMissedNewsAsksTheStore)
{
    World world;
    world.feed.answer(World::rows(5, { { "a", "1" } }));
    world.follower->setAsking(false);
    world.feed.answer(World::rows(5, {}));
    world.follower->onNews({ "op", 8, World::rows(9, { { "b", "2" } }) });
    cr_assert_eq(world.follower->table().rows.count("b"), 0, "a change between them is not known");
    cr_assert_eq(world.feed.asked.front().after, 5);
}

Test(TableFollower, newsOfAnEarlierVersionChangeNothing)
{
    World world;
    world.feed.answer(World::rows(5, { { "a", "new" } }));
    world.follower->onNews({ "op", 2, World::rows(4, { { "a", "old" } }) });
    cr_assert_eq(world.follower->table().rows.at("a"), "new");
}

Test(StoreClockBound, aReplyIsNeverThoughtYoungerThanItIs)
{
    StoreClockBound bound;
    const TimePoint t(1h);
    // The store's clock runs 1 h - 10 s behind; replies take from 1 ms to 900 ms each way.
    const auto truth = [t](Duration stamp) { return t + stamp - 10s; };
    const std::vector<std::pair<Duration, Duration>> calls { { 0ms, 10s + 500ms }, { 2s, 12s + 1ms },
        { 3s, 13s + 900ms }, { 6s, 17500ms } };
    for (const auto& [sent, stamp] : calls) {
        const auto asOf = bound.observe(t + sent, stamp);
        cr_assert_leq(asOf, truth(stamp));
        cr_assert_geq(asOf, t + sent);
    }
    cr_assert_geq(*bound.observeTold(20s), truth(20s) - 1ms);
    cr_assert(!StoreClockBound().observeTold(20s));
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

Test(ServerWatch, aRemovedEntryIsGoneAtOnce)
{
    control::ServerWatch watch;
    const TimePoint t(1h);
    watch.update(entries({ entry("s1"), entry("s2") }), {}, t, t);
    watch.update(entries({ entry("s2") }), {}, t, t + 10s);
    cr_assert_eq(watch.servers().size(), 1);
}

Test(ServerWatch, entriesThatLapsedInAnOutageAreKeptForAWhileAfterIt)
{
    control::ServerWatch watch;
    const TimePoint t(1h);
    watch.update(entries({ entry("s1"), entry("s2"), entry("s3", true) }), {}, t, t);
    const auto back = t + 20s;
    watch.update(entries({}), back - 1s, back, back + 100ms);
    cr_assert_eq(watch.servers().size(), 2, "a server that said it leaves is not kept");
    watch.update(entries({ entry("s1") }), back - 1s, back, back + 1s);
    cr_assert_eq(watch.servers().size(), 2);
    cr_assert(watch.expire(back + 2200ms));
    cr_assert_eq(watch.servers().size(), 1);
    cr_assert(!watch.nextExpiry());
}
