#include "foxtailwheel/control/ServerTable.h"

#include <criterion/criterion.h>

using namespace foxtailwheel;
using namespace std::chrono_literals;
using store::FeedOutcome;
using store::FeedResult;

namespace {

struct LastCallFeed final : store::ChangeFeed {
    void readAll(const std::string& /*table*/, TimePoint /*deadline*/, Callback done) override
    {
        respond = std::move(done);
    }
    void waitForChanges(const std::string& /*table*/, std::uint64_t /*after*/, Duration /*wait*/,
        TimePoint /*deadline*/, Callback done) override
    {
        respond = std::move(done);
    }

    Callback respond;
};

/// An instance that follows the servers' table and does not poll. Rows hold the state of their server.
struct Follower {
    Follower()
    {
        clock.set(TimePoint(1h));
        control::TableFollowerOptions options;
        options.table = "servers";
        options.silenceTimeout = 1600ms;
        follower = std::make_unique<control::TableFollower>(
            feed, clock, options, [this](Duration, std::function<void()> work) { scheduled = std::move(work); },
            [this](const control::TableReplica& table) { servers.apply(table, clock.now()); });
        follower->start();
        feed.respond(rows(5, { { "s1", "ready" }, { "s2", "ready" } }, 10s));
        follower->setPolling(false);
        feed.respond(rows(5, {}, 11s));
    }

    static FeedResult rows(std::uint64_t version, std::vector<store::FeedRow> changed, Duration stamp)
    {
        return { FeedOutcome::Success, std::move(changed), version, stamp };
    }

    void loseStore()
    {
        follower->catchUp();
        clock.advance(500ms);
        feed.respond({ FeedOutcome::Unavailable, {}, 0, {} });
    }

    std::vector<std::string> ready()
    {
        std::vector<std::string> ids;
        for (const auto& it : servers.registry().servers()) {
            if (!it.leaving)
                ids.push_back(it.server.id.value());
        }
        return ids;
    }

    ManualClock clock;
    LastCallFeed feed;
    std::function<void()> scheduled;
    control::ServerTable servers { 1500ms, [](const std::string& id, const std::string& text) {
                                      return std::optional(serving::AnnouncedServer {
                                          { BackendServerId(id), "127.0.0.1", 9000, AvailabilityZoneId("a") },
                                          ServiceId("desk"), text != "ready", 6 });
                                  } };
    std::unique_ptr<control::TableFollower> follower;
};

using Ids = std::vector<std::string>;

} // namespace

// A server was called until the next change of the table, up to 5.5 s later: a peer had forwarded that it leaves while
// the own last call to the store had failed.
Test(ServerTable, forwardedChangeIsAppliedWhileTheOwnCallsToTheStoreFail)
{
    Follower instance;
    instance.loseStore();
    instance.follower->onUpdate({ "servers", 5, Follower::rows(6, { { "s1", "draining" } }, 12s) });
    cr_assert(instance.ready() == Ids({ "s2" }));
}

// The next own call finds nothing new; what was known and not applied has to be applied all the same.
Test(ServerTable, eachStateOfTheReplicaIsAppliedOnce)
{
    Follower instance;
    instance.loseStore();
    instance.follower->onUpdate({ "servers", 5, Follower::rows(6, { { "s1", std::nullopt } }, 12s) });
    instance.scheduled();
    instance.feed.respond(Follower::rows(6, {}, 13s));
    instance.clock.advance(3s);
    instance.servers.registry().expire(instance.clock.now());
    cr_assert(instance.ready() == Ids({ "s2" }));
}

// Entries lapse while the store is away. The instance that hears of it first forwards that they are gone.
Test(ServerTable, entriesThatLapsedInAnOutageAreRetainedIfAPeerForwardsTheirEnd)
{
    Follower instance;
    instance.loseStore();
    instance.clock.advance(4s);
    instance.follower->onUpdate(
        { "servers", 5, Follower::rows(7, { { "s1", std::nullopt }, { "s2", std::nullopt } }, 16500ms) });
    cr_assert(instance.ready() == Ids({ "s1", "s2" }), "they announce themselves again if they live");
    instance.follower->onUpdate({ "servers", 7, Follower::rows(8, { { "s2", "ready" } }, 17s) });
    instance.clock.advance(1500ms);
    instance.servers.registry().expire(instance.clock.now());
    cr_assert(instance.ready() == Ids({ "s2" }), "the other one is gone");
}
