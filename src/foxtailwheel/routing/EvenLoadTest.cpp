#include "foxtailwheel/routing/EvenLoad.h"
#include "foxtailwheel/base/Hash.h"

#include <criterion/criterion.h>
#include <map>

using namespace foxtailwheel;
using namespace std::chrono_literals;
using routing::EngineDemand;
using routing::PlacedCallId;
using routing::SharedLoad;

namespace {

constexpr TimePoint start { 1h };
const EngineDemand longPrompt { { { 1, 2500 }, { 2, 3800 }, { 3, 2700 } }, 200 };
const EngineDemand shortPrompt { { { 4, 300 } }, 200 };

struct Fixture {
    explicit Fixture(std::size_t servers, std::uint64_t memoryTokens = 300000)
    {
        for (std::size_t i = 0; i < servers; ++i)
            ids.emplace_back("s" + std::to_string(i));
        load.configure(ids, 16, memoryTokens);
        load.setInstanceCount(59);
    }

    std::size_t pick(const EngineDemand& demand, TimePoint now)
    {
        std::vector<routing::Candidate> candidates(ids.size());
        for (std::size_t i = 0; i < ids.size(); ++i)
            candidates[i].id = &ids[i];
        return load.pick(candidates, demand, 2, random, now);
    }

    void report(std::size_t server, std::uint32_t running, TimePoint now, double slowdown = 1, Duration age = {})
    {
        load.onReport({ hashOf(ids[server].value()), running, 0, slowdown, age }, now);
    }

    std::map<std::size_t, int> pickOften(const EngineDemand& demand, TimePoint now, int n = 200)
    {
        std::map<std::size_t, int> picks;
        for (int i = 0; i < n; ++i)
            ++picks[pick(demand, now)];
        return picks;
    }

    std::vector<BackendServerId> ids;
    routing::EvenLoad load;
    Random random { 1 };
};

} // namespace

// A part that is spread over many servers is read again on each of them.
Test(EvenLoad, sharedPartStaysOnItsServerUntilThatIsLoaded)
{
    Fixture it(24);
    const auto first = it.pick(longPrompt, start);
    for (const auto& [server, n] : it.pickOften(longPrompt, start))
        cr_assert(server == first || n < 20, "server %zu was chosen %d times", server, n);
    // Two prompts that have not been read take longer than reading the shared parts elsewhere.
    for (std::uint64_t i = 0; i < 2; ++i)
        it.load.onCallSent(PlacedCallId(i), it.ids[first], { { { 10 + i, 9000 } }, 0 }, start);
    cr_assert_neq(it.pick(longPrompt, start), first);
}

// Equal servers must not get all calls of the instances that know the same of them.
Test(EvenLoad, tiesAreSpread)
{
    Fixture it(8);
    cr_assert_eq(it.pickOften(shortPrompt, start).size(), 8);
}

// A slow server that reports that it is idle attracts all calls if only its report counts.
Test(EvenLoad, slowServerThatReportsToBeIdleIsKnownByItsTimes)
{
    Fixture it(2);
    std::uint64_t call = 0;
    auto now = start;
    for (int i = 0; i < 40; ++i, now += 1s) {
        for (std::size_t server = 0; server < 2; ++server) {
            const PlacedCallId id(++call);
            it.load.onCallSent(id, it.ids[server], { { { 100 + call, 5000 } }, 10 }, now);
            it.load.onCallBegan(id, now + (server == 0 ? 500ms : 140ms));
            it.load.onCallEnded(id, true, now + 600ms);
            it.report(server, 0, now + 700ms);
        }
    }
    const auto picks = it.pickOften({ { { 9, 5000 } }, 10 }, now);
    cr_assert(!picks.contains(0) || picks.at(0) < 20);
}

// A report of a full server must not keep calls away for good when no further ones arrive.
Test(EvenLoad, reportsAgeTowardsTheMean)
{
    Fixture it(4, 0);
    for (std::size_t i = 0; i < 4; ++i)
        it.report(i, i == 0 ? 40 : 2, start);
    cr_assert(!it.pickOften({}, start).contains(0));
    cr_assert_gt(it.pickOften({}, start + 10s)[0], 20);
}

// A slow phase of a machine ends after some 600 ms.
Test(EvenLoad, slowdownIsPassing)
{
    Fixture it(4);
    it.report(0, 0, start, 2.5);
    cr_assert_lt(it.pickOften(shortPrompt, start)[0], it.pickOften(shortPrompt, start + 5s)[0]);
    // An older report must not bring it back.
    it.report(0, 0, start + 5s, 1);
    it.report(0, 0, start + 5s, 50, 1s);
    cr_assert_gt(it.pickOften(shortPrompt, start + 5s)[0], 20);
}

// Servers of unequal machines report different slowdowns all the time. Between reports, a slow one must not be taken
// for one of the usual speed, nor a phase of a fast one for its usual speed.
Test(EvenLoad, usualSlowdownOfAServerIsKept)
{
    Fixture it(4);
    for (int second = 0; second < 8; ++second) {
        for (std::size_t i = 0; i < 4; ++i)
            it.report(i, 0, start + second * 1s, i == 0 ? 1.7 : (i == 1 && second == 7 ? 1.75 : 0.7));
    }
    auto picks = it.pickOften(shortPrompt, start + 9s);
    cr_assert_lt(picks[0], picks[1] / 2, "%d, %d", picks[0], picks[1]);
}

// A machine that was slow for some seconds and gets no calls reports nothing; it must be tried again.
Test(EvenLoad, usualSlowdownIsForgottenWithoutReports)
{
    Fixture it(4);
    for (int second = 0; second < 8; ++second) {
        for (std::size_t i = 0; i < 4; ++i)
            it.report(i, 0, start + second * 1s, i == 0 ? 4 : 1);
    }
    cr_assert_lt(it.pickOften(shortPrompt, start + 8s)[0], 10);
    cr_assert_gt(it.pickOften(shortPrompt, start + 150s)[0], 25);
}

// An engine whose requests exceed its memory crashes.
Test(EvenLoad, engineWithoutRoomGetsNothing)
{
    Fixture it(4, 20000);
    const auto first = it.pick(longPrompt, start);
    it.load.onCallSent(PlacedCallId(1), it.ids[first], longPrompt, start);
    it.load.onCallBegan(PlacedCallId(1), start + 100ms);
    cr_assert(!it.pickOften({ { { 1, 2500 }, { 2, 3800 }, { 5, 4000 } }, 200 }, start + 100ms).contains(first));
    it.load.onCallEnded(PlacedCallId(1), true, start + 1s);
    cr_assert_gt(it.pickOften(longPrompt, start + 1s)[first], 100);
}

// Calls of servers that are gone must not be counted on others, and new servers must get calls.
Test(EvenLoad, serversComeAndGo)
{
    Fixture it(200);
    it.load.onCallSent(PlacedCallId(1), it.ids[0], longPrompt, start);
    it.load.onCallSent(PlacedCallId(2), it.ids[199], longPrompt, start);
    it.ids.erase(it.ids.begin(), it.ids.begin() + 190);
    for (int i = 0; i < 10; ++i)
        it.ids.emplace_back("new" + std::to_string(i));
    it.load.configure(it.ids, 16, 300000);
    it.load.onCallBegan(PlacedCallId(1), start + 1s);
    it.load.onCallEnded(PlacedCallId(1), true, start + 2s);
    it.load.onCallEnded(PlacedCallId(2), true, start + 2s);
    cr_assert_float_eq(it.load.knownLoad(start + 2s).meanCalls, 0, 1e-9);
    cr_assert_eq(it.pickOften(shortPrompt, start + 2s, 2000).size(), 20);
}

// Operators must see uneven load and old knowledge.
Test(EvenLoad, knownLoadTellsSpreadAndAge)
{
    Fixture it(4, 0);
    it.report(0, 4, start);
    it.report(1, 4, start);
    it.report(2, 0, start);
    const auto known = it.load.knownLoad(start);
    cr_assert_eq(known.silentServers, 1);
    cr_assert_gt(known.spread, 0.5);
    cr_assert_eq(it.load.knownLoad(start + 2s).meanAge, 2s);
}

// A part counts as cached only for a time after its last use; the number of parts that are kept is bounded.
Test(PromptCache, partsAreForgotten)
{
    routing::PromptCache cache;
    const std::vector<routing::PromptSegment> parts { { 1, 10 } };
    cache.onUsed(parts, start);
    cr_assert(cache.contains(1, 9s, start + 9s));
    cr_assert(!cache.contains(1, 9s, start + 9001ms));
    for (std::uint64_t i = 2; i < 2000; ++i)
        cache.onUsed(std::vector<routing::PromptSegment> { { i, 10 } }, start + 1ms * static_cast<long>(i));
    cr_assert(!cache.contains(1, 1h, start + 2s));
    cr_assert(cache.contains(1999, 9s, start + 2s));
}

// A report that takes a detour must not replace a newer one, and its age must not begin anew on each instance.
Test(LoadExchange, newestReportWinsAndKeepsItsAge)
{
    routing::LoadExchange exchange;
    cr_assert(exchange.add({ 1, 5, 0, 1, 200ms }, start));
    cr_assert(!exchange.add({ 1, 9, 0, 1, 300ms }, start));
    cr_assert(exchange.add({ 2, 7, 0, 1, 0ms }, start));
    const auto reports = exchange.newest(start + 1s);
    cr_assert_eq(reports.size(), 2);
    cr_assert_eq(reports[0], (SharedLoad { 2, 7, 0, 1, 1s }));
    cr_assert_eq(reports[1], (SharedLoad { 1, 5, 0, 1, 1200ms }));
    cr_assert(exchange.newest(start + 6s).empty());
    cr_assert(!exchange.add({ 3, 1, 0, 1, 6s }, start));
    cr_assert(!exchange.add({ 3, 1, 0, 1, -1s }, start));
}

// Messages and memory must not grow with the number of servers.
Test(LoadExchange, isBounded)
{
    routing::LoadExchange exchange({ 64, 100, 5s });
    for (std::uint64_t i = 0; i < 1000; ++i)
        exchange.add({ i, 1, 0, 1, {} }, start + 1us * static_cast<long>(i));
    cr_assert_eq(exchange.size(), 100);
    const auto reports = exchange.newest(start + 1ms);
    cr_assert_eq(reports.size(), 64);
    cr_assert_eq(reports[0].server, 999);
}
