#include "foxtailwheel/peer/Message.h"

#include "foxtailwheel/peer/Messages_generated.h"

#include <algorithm>

namespace foxtailwheel::peer {

namespace {

    using flatbuffers::FlatBufferBuilder;
    using membership::Ack;
    using membership::Digest;
    using membership::Member;
    using membership::MemberState;
    using membership::Ping;
    using membership::ServerNotice;

    /// Deepest nesting and most tables that a verified message may have.
    constexpr unsigned deepestNesting = 16;
    constexpr unsigned mostTables = 200000;

    auto pack(FlatBufferBuilder& fbb, const Member& member)
    {
        return wire::CreateMemberDirect(fbb, member.id.value().c_str(), member.peers.host.c_str(), member.peers.port,
            member.zone.value().c_str(), member.incarnation.value(), static_cast<std::uint8_t>(member.state),
            member.config.value());
    }

    auto pack(FlatBufferBuilder& fbb, const Digest& digest)
    {
        std::vector<flatbuffers::Offset<wire::Member>> members;
        for (const auto& it : digest.members)
            members.push_back(pack(fbb, it));
        std::vector<flatbuffers::Offset<wire::ServerNotice>> servers;
        for (const auto& it : digest.servers)
            servers.push_back(wire::CreateServerNoticeDirect(fbb, it.server.value().c_str(), it.leaving, it.sequence));
        return wire::CreateDigestDirect(fbb, pack(fbb, digest.sender), &members, &servers);
    }

    auto pack(FlatBufferBuilder& fbb, const std::vector<AccountRate>& rates)
    {
        std::vector<flatbuffers::Offset<wire::AccountRate>> packed;
        for (const auto& it : rates)
            packed.push_back(wire::CreateAccountRateDirect(fbb, it.account.value().c_str(), it.perSecond));
        return fbb.CreateVector(packed);
    }

    std::vector<flatbuffers::Offset<wire::Patch>> pack(
        FlatBufferBuilder& fbb, const std::vector<config::Patch>& patches)
    {
        std::vector<flatbuffers::Offset<wire::Patch>> packed;
        for (const auto& it : patches)
            packed.push_back(wire::CreatePatchDirect(
                fbb, it.from.value(), it.to.value(), it.head, it.tail, it.middle.c_str(), it.hash.c_str()));
        return packed;
    }

    struct Packer {
        FlatBufferBuilder& fbb;

        auto operator()(const Ping& it) const
        {
            return wrap(wire::Body::Ping,
                wire::CreatePingDirect(fbb, it.sequence, it.target.value().c_str(), pack(fbb, it.digest)));
        }
        auto operator()(const Ack& it) const
        {
            return wrap(wire::Body::Ack,
                wire::CreateAckDirect(fbb, it.sequence, it.target.value().c_str(), pack(fbb, it.digest)));
        }
        auto operator()(const ConfigRequest& it) const
        {
            return wrap(wire::Body::ConfigRequest,
                wire::CreateConfigRequest(fbb, pack(fbb, it.sender), it.version.value(), it.have.value()));
        }
        auto operator()(const ConfigReply& it) const
        {
            const auto patches = pack(fbb, it.patches);
            return wrap(wire::Body::ConfigReply,
                wire::CreateConfigReplyDirect(fbb, it.version.value(), it.text.c_str(), it.hash.c_str(), &patches));
        }
        auto operator()(const Demand& it) const
        {
            return wrap(wire::Body::Demand, wire::CreateDemand(fbb, pack(fbb, it.sender), pack(fbb, it.rates)));
        }
        auto operator()(const Allowance& it) const
        {
            return wrap(wire::Body::Allowance, wire::CreateAllowance(fbb, pack(fbb, it.rates)));
        }

        template <class T> flatbuffers::Offset<wire::Envelope> wrap(wire::Body type, flatbuffers::Offset<T> body) const
        {
            return wire::CreateEnvelope(fbb, type, body.Union());
        }
    };

    std::string textOf(const flatbuffers::String* text)
    {
        return text == nullptr ? std::string() : text->str();
    }

    Member unpack(const wire::Member* member)
    {
        Member out;
        if (member == nullptr)
            return out;
        out.id = InstanceId(textOf(member->id()));
        out.peers = { textOf(member->host()), member->port() };
        out.zone = AvailabilityZoneId(textOf(member->zone()));
        out.incarnation = Incarnation(member->incarnation());
        out.state = static_cast<MemberState>(
            std::min<std::uint8_t>(member->state(), static_cast<std::uint8_t>(MemberState::Dead)));
        out.config = ConfigVersion(member->config());
        return out;
    }

    Digest unpack(const wire::Digest* digest)
    {
        Digest out;
        if (digest == nullptr)
            return out;
        out.sender = unpack(digest->sender());
        if (const auto* members = digest->members()) {
            for (const auto* it : *members)
                out.members.push_back(unpack(it));
        }
        if (const auto* servers = digest->servers()) {
            for (const auto* it : *servers)
                out.servers.push_back({ BackendServerId(textOf(it->server())), it->leaving(), it->sequence() });
        }
        return out;
    }

    std::vector<AccountRate> unpack(const flatbuffers::Vector<flatbuffers::Offset<wire::AccountRate>>* rates)
    {
        std::vector<AccountRate> out;
        if (rates == nullptr)
            return out;
        for (const auto* it : *rates)
            out.push_back({ ClientAccountId(textOf(it->account())), it->per_second() });
        return out;
    }

    std::vector<config::Patch> unpack(const flatbuffers::Vector<flatbuffers::Offset<wire::Patch>>* patches)
    {
        std::vector<config::Patch> out;
        if (patches == nullptr)
            return out;
        for (const auto* it : *patches)
            out.push_back({ ConfigVersion(it->from()), ConfigVersion(it->to()), it->head(), it->tail(),
                textOf(it->middle()), textOf(it->hash()) });
        return out;
    }

    bool hasSender(const Digest& digest)
    {
        return !digest.sender.id.empty();
    }

} // namespace

std::string encodeMessage(const Message& message)
{
    FlatBufferBuilder fbb;
    wire::FinishEnvelopeBuffer(fbb, std::visit(Packer { fbb }, message));
    return { reinterpret_cast<const char*>(fbb.GetBufferPointer()), fbb.GetSize() };
}

Result<Message> decodeMessage(std::span<const std::uint8_t> bytes)
{
    if (bytes.size() > largestMessageBytes)
        return fail(Errc::TooLarge, "a message of a peer is too large");
    flatbuffers::Verifier verifier(bytes.data(), bytes.size(), deepestNesting, mostTables);
    if (bytes.size() < sizeof(std::uint64_t) || !wire::EnvelopeBufferHasIdentifier(bytes.data())
        || !wire::VerifyEnvelopeBuffer(verifier))
        return fail(Errc::ParseFailed, "a message of a peer is garbled");
    const auto* envelope = wire::GetEnvelope(bytes.data());
    if (const auto* it = envelope->body_as_Ping()) {
        Ping ping { it->sequence(), InstanceId(textOf(it->target())), unpack(it->digest()) };
        if (hasSender(ping.digest))
            return Message(std::move(ping));
    } else if (const auto* ack = envelope->body_as_Ack()) {
        Ack out { ack->sequence(), InstanceId(textOf(ack->target())), unpack(ack->digest()) };
        if (hasSender(out.digest))
            return Message(std::move(out));
    } else if (const auto* request = envelope->body_as_ConfigRequest()) {
        return Message(ConfigRequest {
            unpack(request->sender()), ConfigVersion(request->version()), ConfigVersion(request->have()) });
    } else if (const auto* reply = envelope->body_as_ConfigReply()) {
        return Message(ConfigReply {
            ConfigVersion(reply->version()), textOf(reply->text()), textOf(reply->hash()), unpack(reply->patches()) });
    } else if (const auto* demand = envelope->body_as_Demand()) {
        return Message(Demand { unpack(demand->sender()), unpack(demand->rates()) });
    } else if (const auto* allowance = envelope->body_as_Allowance()) {
        return Message(Allowance { unpack(allowance->rates()) });
    }
    return fail(Errc::ParseFailed, "a message of a peer is of an unknown kind");
}

} // namespace foxtailwheel::peer
