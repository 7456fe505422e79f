#include "foxtailwheel/membership/Membership.h"

#include "foxtailwheel/bench/GossipGroup.h"

#include <criterion/criterion.h>

using namespace foxtailwheel;
using namespace std::chrono_literals;
using bench::GossipGroup;

namespace {

constexpr std::size_t instanceCount = 9;

} // namespace

Test(Membership, allInstancesDiscoverEachOtherFromAPartialList)
{
    GossipGroup group(instanceCount, 0, 1);
    group.run(5s);
    cr_assert(group.hasConverged());
}

Test(Membership, aNewInstanceIsKnownToAllWithinThreeSeconds)
{
    GossipGroup group(instanceCount, 0, 2);
    group.run(5s);
    group.start(instanceCount);
    group.run(3s);
    cr_assert(group.hasConverged());
}

Test(Membership, aLeavingInstanceIsInactiveOnAllWithinThreeSeconds)
{
    GossipGroup group(instanceCount, 0, 3);
    group.run(5s);
    group.leave(4);
    group.run(3s);
    for (std::size_t i = 0; i < instanceCount; ++i)
        cr_assert_eq(group.at(i).activeMembers().size(), instanceCount - 1);
}

Test(Membership, aCrashedInstanceIsDetected)
{
    GossipGroup group(instanceCount, 0, 4);
    group.run(5s);
    group.kill(3);
    group.run(15s);
    cr_assert(group.hasConverged());
}

Test(Membership, aPausedInstanceRejoins)
{
    GossipGroup group(instanceCount, 0, 5);
    group.run(5s);
    group.pause(2);
    group.run(20s);
    cr_assert_eq(group.at(0).activeMembers().size(), instanceCount - 1);
    group.resume(2);
    group.run(5s);
    cr_assert(group.hasConverged());
}

Test(Membership, thirtyPercentMessageLossKeepsTheViewsMostlyInAgreement)
{
    GossipGroup group(instanceCount, 0.3, 6);
    group.run(10s);
    std::size_t secondsInAgreement = 0;
    for (int i = 0; i < 60; ++i) {
        group.run(1s);
        secondsInAgreement += group.hasConverged() ? 1 : 0;
    }
    cr_assert_geq(secondsInAgreement, 54U);
}

Test(Membership, theViewsMergeAfterANetworkPartition)
{
    GossipGroup group(instanceCount, 0, 7);
    group.run(5s);
    group.partition({ 0, 2, 4 });
    group.run(20s);
    cr_assert_eq(group.at(0).activeMembers().size(), 3U);
    cr_assert_eq(group.at(1).activeMembers().size(), instanceCount - 3);
    group.partition({});
    group.run(10s);
    cr_assert(group.hasConverged());
}

Test(Membership, rollingReplacementOfAllInstancesConverges)
{
    GossipGroup group(instanceCount, 0, 8);
    group.run(5s);
    for (std::size_t i = 0; i < instanceCount; ++i) {
        group.leave(i);
        group.run(1s);
        group.kill(i);
        group.start(i);
        group.run(2s);
    }
    group.run(3s);
    cr_assert(group.hasConverged());
}

Test(Membership, aConfigVersionIsKnownToAllWithinThreeSeconds)
{
    GossipGroup group(instanceCount, 0.1, 9);
    group.run(5s);
    for (std::size_t i = 0; i < instanceCount; ++i)
        group.setConfigVersion(i, ConfigVersion(1));
    group.run(3s);
    cr_assert(group.lowestKnownConfigVersion() == ConfigVersion(1));
}

Test(Membership, aLeavingServerIsKnownToAllWithinThreeSeconds)
{
    const BackendServerId server("booking-3");
    for (std::uint64_t seed = 10; seed < 30; ++seed) {
        GossipGroup group(instanceCount, 0.1, seed);
        group.run(5s);
        group.announceLeaving(seed % instanceCount, server);
        group.run(3s);
        for (std::size_t i = 0; i < instanceCount; ++i)
            cr_assert(group.at(i).leavingServers().contains(server),
                "seed %lu: instance %zu does not list the leaving server", seed, i);
    }
}

Test(Membership, noticesOfServersAreForgottenByAllInstances)
{
    membership::MembershipOptions options;
    options.serverNoticeRetention = 20s;
    GossipGroup group(instanceCount, 0.1, 31, options);
    group.run(5s);
    group.announceLeaving(0, BackendServerId("booking-3"));
    group.run(10s);
    for (std::size_t i = 0; i < instanceCount; ++i)
        cr_assert_eq(group.at(i).leavingServerNotices().size(), 1);
    group.run(15s);
    for (std::size_t i = 0; i < instanceCount; ++i)
        cr_assert(group.at(i).leavingServerNotices().empty(), "instance %zu still repeats it", i);
}

Test(Membership, theMessageRatePerInstanceIsIndependentOfTheGroupSize)
{
    const auto messagesPerInstance = [](std::size_t n) {
        GossipGroup group(n, 0, 11);
        group.run(20s);
        const auto before = group.sentMessages();
        group.run(10s);
        return static_cast<double>(group.sentMessages() - before) / static_cast<double>(n);
    };
    cr_assert_leq(messagesPerInstance(64), messagesPerInstance(8) * 1.1);
}

Test(Membership, removingAMemberMovesFewKeys)
{
    std::vector<membership::Member> members;
    for (std::size_t i = 0; i < 20; ++i) {
        members.emplace_back();
        members.back().id = InstanceId("instance-" + std::to_string(i));
    }
    auto fewer = members;
    fewer.pop_back();
    std::size_t movedKeys = 0;
    for (int i = 0; i < 1000; ++i) {
        const auto key = "key-" + std::to_string(i);
        movedKeys += membership::owners(key, members, 1) == membership::owners(key, fewer, 1) ? 0 : 1;
    }
    cr_assert_lt(movedKeys, 100U);
}
