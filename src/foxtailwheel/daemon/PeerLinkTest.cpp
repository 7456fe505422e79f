#include "foxtailwheel/daemon/PeerLink.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <criterion/criterion.h>
#include <future>
#include <thread>

using namespace foxtailwheel;
using namespace std::chrono_literals;

namespace {

std::uint16_t freePort()
{
    boost::asio::io_context context;
    return boost::asio::ip::tcp::acceptor(context, { boost::asio::ip::make_address("127.0.0.1"), 0 })
        .local_endpoint()
        .port();
}

membership::Member makeMember(const std::string& name)
{
    membership::Member member;
    member.id = InstanceId(name);
    member.endpoint = { "127.0.0.1", freePort() };
    member.zone = AvailabilityZoneId("a");
    member.cores = 1;
    return member;
}

/// An instance's link; the events that it reports are counted.
struct Peer {
    explicit Peer(const std::string& name)
        : self(makeMember(name))
    {
    }

    void open()
    {
        daemon::PeerLinkCallbacks callbacks;
        callbacks.onMembersChanged = [this](const std::vector<InstanceId>& live, const std::vector<InstanceId>&,
                                         const std::set<InstanceId>&) { liveInstances = live.size(); };
        callbacks.onPieceMessage = [this](const InstanceId&, const serving::PieceMessage&) { ++messages; };
        callbacks.onConnectionLost = [this](const InstanceId&) { ++connectionsLost; };
        callbacks.onUnreachable = [this](const InstanceId&) { ++refusals; };
        callbacks.onTableUpdate = [this](const control::TableUpdate& it) {
            answeredRows += static_cast<int>(it.changes.rows.size());
            answeredAgeMs = static_cast<int>(toMilliseconds(it.age));
        };
        callbacks.onTableRequest = [this](const control::TableRequest& it) {
            ++requests;
            control::TableUpdate answer { it.table, it.version, { store::FeedOutcome::Success, {}, 9, {} }, it.sequence,
                200ms, true };
            answer.changes.rows.push_back({ "row", std::string(rowBytes, 'r') });
            return std::optional(answer);
        };
        callbacks.onPollerChanged = [](bool) {};
        auto opened = daemon::PeerLink::open(*pool, *clock, self, { "key", 1, 1000 }, std::move(callbacks));
        cr_assert(opened.has_value());
        link = std::move(opened.value());
    }

    /// Runs work on the thread of the link and waits for it.
    void run(const std::function<void()>& work) const
    {
        std::promise<void> done;
        pool->post([&] {
            work();
            done.set_value();
        });
        done.get_future().wait();
    }

    std::unique_ptr<Clock> clock = systemClock();
    std::unique_ptr<http::IoPool> pool = http::IoPool::create(1);
    membership::Member self;
    std::unique_ptr<daemon::PeerLink> link;
    std::atomic<std::size_t> liveInstances { 0 };
    std::atomic<int> messages { 0 };
    std::atomic<int> connectionsLost { 0 };
    std::atomic<int> refusals { 0 };
    std::atomic<int> requests { 0 }; ///< For a copy of a table.
    std::atomic<std::size_t> rowBytes { 10 }; ///< Of the answers.
    std::atomic<int> answeredRows { 0 };
    std::atomic<int> answeredAgeMs { 0 };
};

template <class Condition> bool eventually(Condition condition, Duration within = 10s)
{
    const auto end = std::chrono::steady_clock::now() + within;
    while (!condition() && std::chrono::steady_clock::now() < end)
        std::this_thread::sleep_for(5ms);
    return condition();
}

} // namespace

Test(PeerLink, reportsTheLossOfAConnectionAtOnce)
{
    Peer requester("requester");
    Peer owner("owner");
    requester.open();
    owner.open();
    requester.run([&] { requester.link->addIfUnknown({ owner.self }); });
    cr_assert(eventually([&] { return requester.liveInstances == 2; }));
    const serving::PieceMessage message = serving::PieceRequestCancel { serving::PieceGroupId(1) };
    requester.run([&] { requester.link->send(owner.self.id, message); });
    cr_assert(eventually([&] { return owner.messages == 1; }));
    cr_assert_eq(requester.connectionsLost, 0);
    // As when the process is killed: the kernel closes its connections.
    owner.pool->stop();
    owner.link.reset();
    owner.pool.reset();
    // A silent owner is found after 1.3 s; the loss of its connection has to be known well before.
    cr_assert(eventually([&] { return requester.connectionsLost > 0; }, 1s));
    requester.pool->stop();
}

Test(PeerLink, reportsAnInstanceThatRefusesConnections)
{
    Peer requester("requester");
    Peer gone("gone");
    requester.open();
    requester.run([&] { requester.link->addIfUnknown({ gone.self }); });
    requester.run(
        [&] { requester.link->send(gone.self.id, serving::PieceRequestCancel { serving::PieceGroupId(1) }); });
    cr_assert(eventually([&] { return requester.refusals > 0; }, 1s));
    cr_assert_eq(requester.connectionsLost, 0);
    requester.pool->stop();
}

// While the store turns an instance away, it hears from those that the store serves, first of all in other zones.
Test(PeerLink, asksInstancesOfOtherZonesForTheirCopyOfATable)
{
    Peer asking("asking");
    Peer sameZone("same");
    std::vector<std::unique_ptr<Peer>> otherZone;
    asking.open();
    sameZone.open();
    std::vector<membership::Member> others { sameZone.self };
    for (const std::string name : { "o1", "o2" }) {
        otherZone.push_back(std::make_unique<Peer>(name));
        otherZone.back()->self.zone = AvailabilityZoneId("b");
        otherZone.back()->open();
        others.push_back(otherZone.back()->self);
    }
    asking.run([&] { asking.link->addIfUnknown(others); });
    cr_assert(eventually([&] { return asking.liveInstances == 4; }));
    asking.run([&] { asking.link->askForTable({ "op", 5, {}, 1, 2s }); });
    cr_assert(eventually([&] { return asking.answeredRows == 2; }));
    cr_assert_eq(asking.answeredAgeMs, 200);
    cr_assert_eq(sameZone.requests, 0);
    for (const auto& it : otherZone)
        it->rowBytes = 2000;
    asking.run([&] { asking.link->askForTable({ "op", 5, {}, 2, 2s }); });
    cr_assert(eventually([&] { return otherZone[0]->requests + otherZone[1]->requests == 4; }));
    std::this_thread::sleep_for(100ms);
    cr_assert_eq(asking.answeredRows, 2, "an answer that would fill the link is not sent");
    asking.pool->stop();
    sameZone.pool->stop();
    for (const auto& it : otherZone)
        it->pool->stop();
}
