#include "foxtailwheel/routing/ColdCallLimiter.h"

#include "foxtailwheel/base/Random.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <memory>
#include <set>

using namespace foxtailwheel;
using namespace std::chrono_literals;
using routing::ColdCallLimiter;

namespace {

constexpr TimePoint start { 1h };
const BackendServerId server("s");

InstanceId name(std::size_t i)
{
    return InstanceId("instance-" + std::to_string(i));
}

/// Instances that send a cold server as many calls as they may, while they die and join. Each learns of that after a
/// delay of its own.
struct Fleet {
    struct Instance {
        std::unique_ptr<ColdCallLimiter> limiter;
        std::set<std::size_t> live;
        bool alive = true;
    };
    struct Notice {
        TimePoint at;
        std::size_t to = 0;
        std::size_t about = 0;
        bool alive = false;
    };

    Fleet(std::size_t n, double perSecond)
        : limits { perSecond, 60s }
    {
        // Few instances send more calls each.
        if (n < 8)
            step = 1ms;
        for (std::size_t i = 0; i < n; ++i)
            add();
        for (auto& it : instances) {
            for (std::size_t i = 0; i < n; ++i)
                it.live.insert(i);
            tell(it);
        }
        now += 3s;
        for (auto& it : instances)
            it.limiter->markCold(server, now);
    }

    void add()
    {
        Instance it { std::make_unique<ColdCallLimiter>(name(instances.size())), { instances.size() } };
        it.limiter->setLimits(limits);
        tell(it);
        instances.push_back(std::move(it));
    }

    void tell(const Instance& instance) const
    {
        std::vector<InstanceId> live;
        for (const auto it : instance.live)
            live.push_back(name(it));
        instance.limiter->setLiveInstances(live, now);
    }

    /// All others learn within `maxDelay` that an instance is alive or dead.
    void announce(std::size_t about, bool alive, Duration maxDelay)
    {
        for (std::size_t to = 0; to < instances.size(); ++to)
            notices.push_back({ now + fromSeconds(toSeconds(maxDelay) * random.uniform()), to, about, alive });
    }

    void kill(std::size_t i, Duration maxDelay)
    {
        instances[i].alive = false;
        announce(i, false, maxDelay);
    }

    /// Adds an instance that learns of the others one after the other.
    void join(Duration maxDelay)
    {
        add();
        const auto joined = instances.size() - 1;
        instances[joined].limiter->markCold(server, now);
        announce(joined, true, maxDelay);
        for (std::size_t i = 0; i < joined; ++i) {
            if (instances[i].alive)
                notices.push_back({ now + fromSeconds(toSeconds(maxDelay) * random.uniform()), joined, i, true });
        }
    }

    void run(Duration time)
    {
        for (const auto end = now + time; now < end; now += step) {
            for (const auto& it : notices) {
                auto& instance = instances[it.to];
                if (it.at > now || it.to == it.about)
                    continue;
                if (it.alive ? instance.live.insert(it.about).second : instance.live.erase(it.about) > 0)
                    tell(instance);
            }
            std::erase_if(notices, [this](const Notice& it) { return it.at <= now; });
            for (auto& it : instances) {
                if (!it.alive || !it.limiter->admits(server, now))
                    continue;
                it.limiter->onCall(server, now);
                // A new connection takes up to 40 ms.
                calls.push_back(now + fromSeconds(0.04 * random.uniform()));
            }
        }
    }

    /// Returns the most calls that arrived in any second.
    std::size_t mostCallsInASecond() const
    {
        auto sorted = calls;
        std::sort(sorted.begin(), sorted.end());
        std::size_t most = 0;
        for (std::size_t first = 0, last = 0; last < sorted.size(); ++last) {
            while (sorted[last] - sorted[first] >= 1s)
                ++first;
            most = std::max(most, last - first + 1);
        }
        return most;
    }

    routing::ColdLimits limits;
    TimePoint now = start;
    Duration step = 10ms;
    Random random { 7 };
    std::vector<Instance> instances;
    std::vector<Notice> notices;
    std::vector<TimePoint> calls;
};

/// The rule for all instances together: `coldPerS` x 1.5 + 5 in any second.
std::size_t bound(double perSecond)
{
    return static_cast<std::size_t>(perSecond * 1.5 + 5);
}

} // namespace

// Fails if a cold server gets more than it can handle from many instances, or far less than it can.
Test(ColdCallLimiter, allInstancesTogetherStayWithinTheLimit)
{
    for (const std::size_t n : { 1U, 2U, 3U, 8U, 59U, 300U }) {
        for (const double perSecond : { 0.5, 1.0, 2.5, 4.0, 8.0, 20.0, 65.0, 90.0 }) {
            Fleet fleet(n, perSecond);
            fleet.run(20s);
            const auto most = static_cast<double>(fleet.mostCallsInASecond());
            cr_assert_leq(most, std::max(1.0, perSecond), "%zu instances, %f per second: %f", n, perSecond, most);
            const double rate = static_cast<double>(fleet.calls.size()) / 20;
            cr_assert_geq(rate, 0.7 * perSecond, "%zu instances, %f: %f", n, perSecond, rate);
        }
    }
}

// Fails if instances that die, join and learn of it late cause more calls than the bound.
Test(ColdCallLimiter, deathsAndJoinsThatAreLearnedLateStayWithinTheBound)
{
    for (const std::size_t n : { 59U, 300U }) {
        for (const double perSecond : { 1.0, 4.0, 20.0 }) {
            Fleet fleet(n, perSecond);
            const auto deaths = 3 + n / 100;
            for (std::size_t round = 0; round < 6; ++round) {
                for (std::size_t i = 0; i < deaths; ++i)
                    fleet.kill(round * deaths + i, 4s);
                fleet.run(500ms);
                fleet.join(3s);
                fleet.run(1500ms);
            }
            fleet.run(3s);
            const auto most = fleet.mostCallsInASecond();
            cr_assert_leq(most, bound(perSecond), "%zu instances, %f per second: %zu", n, perSecond, most);
        }
    }
}

// Fails if an instance that is cut off, and so takes itself for one of few, sends calls on top of the others'.
Test(ColdCallLimiter, groupsThatAreCutOffDoNotAddUp)
{
    for (const std::size_t cutOff : { 1U, 20U, 30U }) {
        Fleet fleet(60, 8);
        for (std::size_t i = 0; i < 60; ++i) {
            for (std::size_t other = 0; other < 60; ++other) {
                if ((i < cutOff) != (other < cutOff))
                    fleet.notices.push_back({ fleet.now + fromSeconds(2 * fleet.random.uniform()), i, other, false });
            }
        }
        fleet.run(20s);
        const auto most = fleet.mostCallsInASecond();
        cr_assert_leq(most, bound(8), "%zu cut off: %zu", cutOff, most);
        cr_assert_geq(fleet.calls.size(), 80, "the others have taken over");
    }
}

// Fails if an instance that has just started, and knows few others, counts itself among the holders.
Test(ColdCallLimiter, noCallsWithinTheFirstSeconds)
{
    ColdCallLimiter limiter(name(0));
    limiter.setLimits({ 8, 10s });
    limiter.setLiveInstances({ name(0) }, start);
    limiter.markCold(server, start);
    cr_assert(!limiter.admits(server, start + 1999ms));
    cr_assert(limiter.admits(server, start + 2s));
}

// Fails if a server is held back although it is not cold any more, or a newer entry has no effect.
Test(ColdCallLimiter, serverIsColdUntilTheLatestTimeThatIsKnown)
{
    ColdCallLimiter limiter(name(0));
    limiter.setLimits({ 8, 10s });
    limiter.setColdByEntry(server, start + 20s, start);
    cr_assert(limiter.isCold(server, start + 19s));
    limiter.setColdByEntry(server, start + 5s, start + 1s);
    cr_assert(!limiter.isCold(server, start + 5s));
    limiter.markCold(server, start + 6s);
    cr_assert(limiter.isCold(server, start + 15s));
    cr_assert(!limiter.isCold(server, start + 16s));
    limiter.setLimits({ 0, 10s });
    cr_assert(!limiter.isCold(server, start + 7s), "no limit");
}
