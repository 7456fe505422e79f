#include "foxtailwheel/bench/GossipGroup.h"

#include <criterion/criterion.h>

using namespace foxtailwheel;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t servers = 90;

struct Knowledge {
    double reports = 0; ///< Mean number of servers with a report that is not older than 5 s.
    Duration age {}; ///< Mean age of these reports.
    std::uint64_t messages = 0; ///< Of all instances.
};

/// Returns what an instance knows after each has seen the load of a random server every 50 ms for 10 s.
Knowledge learn(std::size_t instances, bool share)
{
    bench::GossipGroup group(instances, 0.01, 1);
    group.run(30s);
    const auto before = group.sentMessages();
    std::vector<routing::LoadExchange> own(instances);
    if (share)
        group.shareLoads();
    Random random(7);
    for (int i = 0; i < 200; ++i) {
        for (std::size_t j = 0; j < instances; ++j) {
            auto& known = share ? group.loadsOf(j) : own[j];
            known.add({ random.below(servers), 1, 0, 1, {} }, group.now());
        }
        group.run(50ms);
    }
    Knowledge knowledge;
    for (std::size_t j = 0; j < instances; ++j) {
        auto& known = share ? group.loadsOf(j) : own[j];
        known.newest(group.now());
        knowledge.reports += static_cast<double>(known.size()) / static_cast<double>(instances);
        knowledge.age += known.meanAge(group.now()) / static_cast<long>(instances);
    }
    knowledge.messages = group.sentMessages() - before;
    return knowledge;
}

} // namespace

// Reports must reach all instances with the messages that are sent anyway, fresher than those of own responses.
Test(LoadExchange, digestsSpreadReports)
{
    for (const std::size_t instances : { 8, 59, 225 }) {
        const auto alone = learn(instances, false);
        const auto shared = learn(instances, true);
        cr_expect_eq(shared.messages, alone.messages);
        cr_expect_lt(shared.age, alone.age);
        cr_expect_gt(shared.reports, alone.reports);
    }
}

// An instance that is cut off from the others must not go on with their last reports, and must learn the new ones soon
// after it is back.
Test(LoadExchange, cutOffInstanceDropsOldReportsAndRecovers)
{
    bench::GossipGroup group(20, 0.01, 1);
    group.run(30s);
    group.shareLoads();
    const auto reportFor = [&](Duration time) {
        for (const auto end = group.now() + time; group.now() < end; group.run(100ms)) {
            for (std::uint64_t i = 1; i < 20; ++i)
                group.loadsOf(i).add({ i, 1, 0, 1, {} }, group.now());
        }
    };
    const auto known = [&] { return group.loadsOf(0).newest(group.now()).size(); };
    reportFor(5s);
    cr_expect_geq(known(), 17);
    group.partition({ 0 });
    reportFor(6s);
    cr_expect_eq(known(), 0, "reports are dropped after 5 s");
    group.partition({});
    reportFor(6s);
    cr_expect_geq(known(), 17);
}

// A report that returns by another way seems newer by the time on the network; it must not count as another
// measurement.
Test(LoadExchange, copyOfAReportIsNotNew)
{
    routing::LoadExchange exchange;
    const auto now = TimePoint(1h);
    cr_assert(exchange.add({ 7, 3, 0, 1.7, 20ms }, now));
    cr_assert(!exchange.add({ 7, 3, 0, 1.7, 20ms }, now + 5ms));
    cr_assert(exchange.add({ 7, 3, 0, 1.7, 20ms, 1.2 }, now + 10ms), "the measured time is new");
    cr_assert(!exchange.add({ 7, 3, 0, 1.7, 20ms, 1.2 }, now + 20ms));
    cr_assert(!exchange.add({ 7, 3, 0, 1.7, 20ms }, now + 30ms));
    cr_assert_float_eq(exchange.newest(now + 30ms).at(0).timeRatio, 1.2, 1e-9);
    cr_assert(exchange.add({ 7, 3, 0, 1.7, 20ms }, now + 500ms));
    cr_assert(exchange.add({ 7, 4, 0, 1.7, 20ms }, now + 520ms));
}
