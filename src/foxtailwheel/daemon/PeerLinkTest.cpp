#include "foxtailwheel/daemon/PeerLink.h"

#include <algorithm>
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

membership::Member makeMember(const std::string& name, const std::string& zone)
{
    membership::Member member;
    member.id = InstanceId(name);
    member.endpoint = { "127.0.0.1", freePort() };
    member.zone = AvailabilityZoneId(zone);
    member.cores = 1;
    return member;
}

/// An instance's link; the events that it reports are counted.
struct Peer {
    explicit Peer(const std::string& name, const std::string& zone = "a")
        : self(makeMember(name, zone))
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
        callbacks.onTableUpdate = [this](const control::TableUpdate& update) {
            ++updates;
            if (role == control::FollowRole::Relay)
                link->forward(update);
        };
        callbacks.onRoleChanged = [this](control::FollowRole newRole) { role = newRole; };
        auto opened = daemon::PeerLink::open(*pool, *clock, self, "key", 1, std::move(callbacks));
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
    std::atomic<int> updates { 0 };
    std::atomic<control::FollowRole> role { control::FollowRole::Member };
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

Test(PeerLink, updatesOfThePollerReachEveryInstanceThroughOneRelayInEachZone)
{
    std::vector<std::unique_ptr<Peer>> peers;
    for (const std::string zone : { "a", "b", "c" }) {
        for (const std::string number : { "1", "2", "3" })
            peers.push_back(std::make_unique<Peer>(zone + number, zone));
    }
    std::vector<membership::Member> members;
    for (const auto& it : peers) {
        it->open();
        members.push_back(it->self);
    }
    for (const auto& it : peers)
        it->run([&] { it->link->addIfUnknown(members); });
    const auto count = [&](control::FollowRole role) {
        return std::count_if(peers.begin(), peers.end(), [role](const auto& it) { return it->role == role; });
    };
    cr_assert(eventually([&] {
        return count(control::FollowRole::Poller) == 1 && count(control::FollowRole::Relay) == 2
            && std::all_of(peers.begin(), peers.end(), [](const auto& it) { return it->liveInstances == 9; });
    }));
    const auto poller = std::find_if(
        peers.begin(), peers.end(), [](const auto& it) { return it->role == control::FollowRole::Poller; });
    (*poller)->run([&] { (*poller)->link->forward({ "op", 5, { store::FeedOutcome::Success, {}, 6, 10s } }); });
    for (const auto& it : peers)
        cr_assert(eventually([&] { return it == *poller || it->updates == 1; }));
    for (const auto& it : peers)
        it->pool->stop();
}
