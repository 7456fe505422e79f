#include "foxtailwheel/peer/Handshake.h"
#include "foxtailwheel/peer/Message.h"
#include "foxtailwheel/peer/Messages_generated.h"
#include "foxtailwheel/peer/Transport.h"

#include "foxtailwheel/base/Random.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <criterion/criterion.h>
#include <ctime>
#include <future>
#include <sys/resource.h>
#include <thread>

using namespace foxtailwheel;
using namespace std::chrono_literals;
using peer::Message;
namespace wire = peer::wire;

namespace {

constexpr auto receiveTimeout = 10s;

membership::Member makeMember(const std::string& name)
{
    return { InstanceId(name), { "127.0.0.1", 7 }, AvailabilityZoneId("a"), Incarnation(5),
        membership::MemberState::Suspect, ConfigVersion(9) };
}

std::vector<Message> makeMessages()
{
    const config::BackendServer server { BackendServerId("s"), "127.0.0.1", 9, AvailabilityZoneId("a") };
    membership::Digest digest { makeMember("x"), { makeMember("y"), makeMember("z") },
        { { BackendServerId("s"), true, 77 } },
        { { 0xfedcba9876543210U, 12, 3, 2.5, 1200ms, 1.75 }, { 5, 0, 0, 1, 0ms } },
        { { 0x0123456789abcdefU, 2900ms }, { 6, 1ms } }, ConfigVersion(12) };
    return {
        membership::Ping { 3, InstanceId("t"), digest },
        membership::Ack { 4, InstanceId("u"), digest },
        peer::ConfigRequest { makeMember("x"), ConfigVersion(8), ConfigVersion(7) },
        peer::ConfigReply {
            ConfigVersion(8), "text", "hash", { { ConfigVersion(7), ConfigVersion(8), 3, 4, "m", "h" } } },
        peer::Demand { makeMember("x"), { { ClientAccountId("coop"), 1.5 } } },
        peer::Allowance { { { ClientAccountId("coop"), 2.5 } } },
        peer::TableUpdate { makeMember("x"), "op", 5,
            { store::FeedOutcome::Success,
                { { "a", "value" }, { "b", std::nullopt },
                    { "c", std::nullopt, TextDelta { { { 1, 2, 3 }, { 4, 5, 0 } }, "new", 6 } } },
                7, 11s, store::StoreEpoch(3) },
            9, 1500ms, true },
        peer::TableRequest { makeMember("x"), "op", 5, store::StoreEpoch(3), 9, 1600ms },
        peer::PieceUpdate { makeMember("x"),
            serving::PieceRequest { serving::PieceGroupId(3), ServiceId("portal"),
                { { "r", 1, 2, "k", { "h" }, true }, { "s", 0, 1, "k", {} }, { "t", 1, 0, "k", {}, true } }, 1, -2ms,
                3s, AvailabilityZoneId("a"), 4ms, 99, true, { AvailabilityZoneId("a"), AvailabilityZoneId("b") } } },
        peer::PieceUpdate {
            makeMember("x"), serving::PieceRequestAck { serving::PieceGroupId(3), { { 1ms, 2ms, 3ms, 4ms }, 5ms } } },
        peer::PieceUpdate { makeMember("x"), serving::PieceRequestCancel { serving::PieceGroupId(3) } },
        peer::PieceUpdate { makeMember("x"),
            serving::PieceResults { serving::PieceGroupId(3), ServiceId("portal"),
                { { 1, serving::ResultHandle { "h", server, ServiceId("portal") } },
                    { 2, serving::PieceFailure::NoCapacity } },
                { { 1ms, 2ms, 3ms, 4ms }, 5ms } } },
        peer::PieceUpdate { makeMember("x"), serving::ReleaseResults { ServiceId("portal"), server, { "h", "g" } } },
    };
}

std::span<const std::uint8_t> bytesOf(const std::string& text)
{
    return { reinterpret_cast<const std::uint8_t*>(text.data()), text.size() };
}

/// Waits until `condition` returns true, for at least 10 s so that a slow machine does not fail the test.
template <class Condition> bool eventually(Condition condition)
{
    for (int i = 0; i < 1000 && !condition(); ++i)
        std::this_thread::sleep_for(10ms);
    return condition();
}

std::unique_ptr<peer::Transport> listenWith(
    http::IoPool& pool, const std::string& key, peer::Transport::MessageHandler onMessage)
{
    auto transport = peer::Transport::listen(pool, { "127.0.0.1", 0 }, key, std::move(onMessage));
    cr_assert(transport.has_value());
    return std::move(transport).value();
}

/// Sends raw bytes to a listener and closes the connection.
void sendRaw(std::uint16_t port, const std::string& bytes)
{
    boost::asio::io_context context;
    boost::asio::ip::tcp::socket socket(context);
    socket.connect({ boost::asio::ip::make_address("127.0.0.1"), port });
    boost::asio::write(socket, boost::asio::buffer(bytes));
}

/// Authenticates as a peer, sends the bytes and ends the connection, in order or with a reset.
void sendAuthenticated(std::uint16_t port, const std::string& key, const std::string& bytes, bool resets)
{
    namespace net = boost::asio;
    net::io_context context;
    net::ip::tcp::socket socket(context);
    socket.connect({ net::ip::make_address("127.0.0.1"), port });
    const auto nonce = peer::generateNonce();
    net::write(socket, net::buffer(peer::protocolMagic));
    net::write(socket, net::buffer(*nonce));
    peer::Nonce peerNonce {};
    peer::Proof peerProof {};
    net::read(socket, net::buffer(peerNonce));
    net::read(socket, net::buffer(peerProof));
    net::write(socket, net::buffer(peer::computeProof(key, "connector", *nonce, peerNonce)));
    net::write(socket, net::buffer(bytes));
    if (resets)
        socket.set_option(net::socket_base::linger(true, 0));
}

} // namespace

Test(PeerMessage, encodingRoundTrips)
{
    for (const auto& it : makeMessages()) {
        const auto decoded = peer::decodeMessage(bytesOf(peer::encodeMessage(it)));
        cr_assert(decoded.has_value());
        cr_assert(decoded.value() == it);
    }
}

// Pieces were taken for ones with a key because a list was empty. Earlier builds do not say what a piece reads.
Test(PeerMessage, piecesOfEarlierBuildsReadResultsUnlessTheyHaveAKey)
{
    flatbuffers::FlatBufferBuilder fbb;
    const auto piece = [&fbb](const std::string& key, const std::vector<std::string>& inputs) {
        return wire::CreatePiece(
            fbb, fbb.CreateString("r"), 1, 0, fbb.CreateString(key), fbb.CreateVectorOfStrings(inputs));
    };
    const std::vector<flatbuffers::Offset<wire::Piece>> pieces { piece("k", {}), piece("", { "h" }), piece("", {}) };
    const auto sender = wire::CreateMemberDirect(fbb, "x");
    const auto asked = wire::CreatePiecesAskedDirect(fbb, sender, 3, "portal", &pieces);
    wire::FinishEnvelopeBuffer(fbb, wire::CreateEnvelope(fbb, wire::Body::PiecesAsked, asked.Union()));
    const auto decoded = peer::decodeMessage({ fbb.GetBufferPointer(), fbb.GetSize() });
    cr_assert(decoded.has_value());
    const auto& update = std::get<peer::PieceUpdate>(decoded.value());
    const auto& unpacked = std::get<serving::PieceRequest>(update.message).pieces;
    cr_assert(!unpacked.at(0).readsResults);
    cr_assert(unpacked.at(1).readsResults);
    cr_assert(unpacked.at(2).readsResults);
}

Test(PeerMessage, truncatedOrMutatedBytesAreRejectedOrDecoded)
{
    Random random(20261204);
    std::size_t rejected = 0;
    for (int round = 0; round < 20000; ++round) {
        const auto messages = makeMessages();
        auto bytes = peer::encodeMessage(messages[random.below(messages.size())]);
        if (random.chance(0.3))
            bytes.resize(random.below(bytes.size()));
        for (std::uint64_t i = random.below(6); i > 0 && !bytes.empty(); --i)
            bytes[random.below(bytes.size())] = static_cast<char>(random.below(256));
        rejected += peer::decodeMessage(bytesOf(bytes)).has_value() ? 0 : 1;
    }
    cr_assert_gt(rejected, 5000U);
}

Test(PeerMessage, messageWithoutSenderIsRejected)
{
    peer::PieceUpdate piece { makeMember(""), serving::PieceRequestCancel { serving::PieceGroupId(3) } };
    cr_assert(!peer::decodeMessage(bytesOf(peer::encodeMessage(piece))).has_value());
    peer::TableUpdate table { makeMember(""), "op", 5, { store::FeedOutcome::Success, {}, 7, 11s } };
    cr_assert(!peer::decodeMessage(bytesOf(peer::encodeMessage(table))).has_value());
    peer::TableRequest asked { makeMember(""), "op", 5, store::StoreEpoch(3), 9, 1600ms };
    cr_assert(!peer::decodeMessage(bytesOf(peer::encodeMessage(asked))).has_value());
    peer::Demand demand { makeMember(""), {} };
    cr_assert(!peer::decodeMessage(bytesOf(peer::encodeMessage(demand))).has_value());
    peer::ConfigRequest request { makeMember(""), ConfigVersion(8), ConfigVersion(7) };
    cr_assert(!peer::decodeMessage(bytesOf(peer::encodeMessage(request))).has_value());
}

Test(PeerMessage, oversizedBytesAreRejected)
{
    const std::string bytes(peer::maxMessageBytes + 1, 'x');
    cr_assert(peer::decodeMessage(bytesOf(bytes)).error().code == make_error_code(Errc::TooLarge));
}

Test(PeerTransport, framesArriveIfBothEndsHaveTheSameKey)
{
    const auto pool = http::IoPool::create(2);
    std::promise<Message> received;
    auto arrived = received.get_future();
    const auto listener
        = listenWith(*pool, "the-shared-secret", [&](Message message) { received.set_value(std::move(message)); });
    const auto sender = listenWith(*pool, "the-shared-secret", [](const Message&) {});
    sender->send({ "127.0.0.1", listener->port() }, makeMessages().front());
    const bool isReady = arrived.wait_for(receiveTimeout) == std::future_status::ready;
    const auto counts = sender->counts();
    cr_assert(isReady, "%zu frames sent, %zu dropped", static_cast<std::size_t>(counts.sentFrames),
        static_cast<std::size_t>(counts.droppedFrames));
    cr_assert(arrived.get() == makeMessages().front());
    pool->stop();
}

Test(PeerTransport, frameThatBreaksOffIsNotDelivered)
{
    const auto pool = http::IoPool::create(2);
    std::atomic<int> received { 0 };
    const auto listener = listenWith(*pool, "key", [&](const Message& /*message*/) { ++received; });
    const auto body = peer::encodeMessage(makeMessages().back());
    std::string frame(4, '\0');
    frame[0] = static_cast<char>(body.size());
    frame[1] = static_cast<char>(body.size() >> 8U);
    frame += body;
    for (std::size_t n = 0; n < frame.size(); n += n < 8 ? 1 : 7) {
        for (const bool resets : { false, true })
            sendAuthenticated(listener->port(), "key", frame.substr(0, n), resets);
    }
    sendAuthenticated(listener->port(), "key", frame, false);
    cr_assert(eventually([&] { return received > 0; }));
    std::this_thread::sleep_for(100ms);
    cr_assert_eq(received, 1);
    pool->stop();
}

Test(PeerTransport, aWrongKeyIsRefusedAndCounted)
{
    const auto pool = http::IoPool::create(2);
    const auto listener = listenWith(*pool, "the-shared-secret",
        [](const Message&) { cr_assert_fail("the listener received a frame from a peer with a wrong key"); });
    const auto sender = listenWith(*pool, "some-other-secret", [](const Message&) {});
    sender->send({ "127.0.0.1", listener->port() }, makeMessages().front());
    const auto wrongKey = static_cast<std::size_t>(peer::RefusalReason::WrongKey);
    cr_assert(eventually([&] { return sender->counts().refused.at(wrongKey) == 1; }));
    cr_assert(eventually([&] { return sender->counts().droppedFrames == 1; }));
    cr_assert_eq(listener->counts().receivedFrames, 0U);
    pool->stop();
}

Test(PeerTransport, anotherProtocolIsRefusedAndCounted)
{
    const auto pool = http::IoPool::create(2);
    const auto listener = listenWith(*pool, "the-shared-secret", [](const Message&) {});
    sendRaw(listener->port(), "GET / HTTP/1.1\r\nHost: somewhere\r\n\r\n" + std::string(64, ' '));
    const auto wrongProtocol = static_cast<std::size_t>(peer::RefusalReason::WrongProtocol);
    cr_assert(eventually([&] { return listener->counts().refused.at(wrongProtocol) == 1; }));
    pool->stop();
}

// The undefined-behaviour sanitizer needs a descriptor to look at the type of an object, and takes each for invalid
// without one, so only the other builds can check this.
#ifndef __SANITIZE_ADDRESS__
Test(PeerTransport, acceptingPausesWhileDescriptorsRunOut)
{
    const auto pool = http::IoPool::create(1);
    const auto listener = listenWith(*pool, "the-shared-secret", [](const Message&) {});
    boost::asio::io_context context;
    boost::asio::ip::tcp::socket socket(context, boost::asio::ip::tcp::v4());
    rlimit before {};
    getrlimit(RLIMIT_NOFILE, &before);
    // Descriptors are numbered from the lowest free one, so none is left.
    const rlimit none { static_cast<rlim_t>(socket.native_handle()) + 1, before.rlim_max };
    cr_assert_eq(setrlimit(RLIMIT_NOFILE, &none), 0);
    socket.connect({ boost::asio::ip::make_address("127.0.0.1"), listener->port() });
    const auto used = std::clock();
    std::this_thread::sleep_for(500ms);
    const auto usedSeconds = static_cast<double>(std::clock() - used) / CLOCKS_PER_SEC;
    setrlimit(RLIMIT_NOFILE, &before);
    cr_assert_lt(usedSeconds, 0.1);
    boost::asio::write(socket, boost::asio::buffer(std::string(64, ' ')));
    const auto wrongProtocol = static_cast<std::size_t>(peer::RefusalReason::WrongProtocol);
    cr_assert(eventually([&] { return listener->counts().refused.at(wrongProtocol) == 1; }), "accepted later");
    pool->stop();
}
#endif

Test(Transport, connectionThatReplacesAnotherOneOfItsPeerIsReportedAsALoss)
{
    const auto pool = http::IoPool::create(1);
    std::atomic<int> received { 0 };
    std::atomic<int> losses { 0 };
    const auto listening = peer::Transport::listen(
        *pool, { "127.0.0.1", 0 }, "key", [&](const Message& /*message*/) { ++received; },
        [&](const config::Endpoint& address, peer::DisconnectReason reason) {
            cr_assert_eq(address.port, makeMember("x").endpoint.port);
            cr_assert_eq(reason, peer::DisconnectReason::Lost);
            cr_assert_eq(received % 2, 1, "the first message of the connection is handled before");
            ++losses;
        });
    cr_assert(listening.has_value());
    const config::Endpoint address { "127.0.0.1", listening.value()->port() };
    const Message message
        = peer::PieceUpdate { makeMember("x"), serving::PieceRequestCancel { serving::PieceGroupId(3) } };
    std::vector<std::unique_ptr<peer::Transport>> senders;
    for (int i = 1; i <= 3; ++i) {
        senders.push_back(listenWith(*pool, "key", [](const Message& /*message*/) {}));
        senders.back()->send(address, message);
        senders.back()->send(address, message);
        cr_assert(eventually([&] { return received == 2 * i; }));
        cr_assert_eq(losses, i - 1);
        senders.back()->close();
    }
    listening.value()->close();
    pool->stop();
}
