#include "foxtailwheel/peer/Message.h"

#include "foxtailwheel/peer/Messages_generated.h"

#include <algorithm>
#include <cstring>

namespace foxtailwheel::peer {

namespace {

    /// Converts a duration of a message; one that no instance sends is limited, as it would overflow in nanoseconds.
    Duration boundedMicroseconds(std::int64_t us)
    {
        constexpr std::int64_t maxMicroseconds = std::int64_t { 1 } << 52U;
        return std::chrono::microseconds(std::clamp(us, -maxMicroseconds, maxMicroseconds));
    }

    using flatbuffers::FlatBufferBuilder;
    using membership::Ack;
    using membership::Digest;
    using membership::Member;
    using membership::MemberState;
    using membership::Ping;
    using membership::ServerNotice;

    /// Limits of the FlatBuffers verifier.
    constexpr unsigned maxNestingDepth = 16;
    constexpr unsigned maxTables = 200000;
    /// Load reports that are read from one message; instances send fewer.
    constexpr std::size_t maxLoads = 256;
    /// Servers are cold for seconds; a longer time in a message would block a server for no reason.
    constexpr std::uint32_t maxColdMs = 10 * 60 * 1000;

    auto pack(FlatBufferBuilder& fbb, const Member& member)
    {
        return wire::CreateMemberDirect(fbb, member.id.value().c_str(), member.endpoint.host.c_str(),
            member.endpoint.port, member.zone.value().c_str(), member.incarnation.value(),
            static_cast<std::uint8_t>(member.state), member.configVersion.value(), member.cores);
    }

    /// Copies an element of a vector of numbers or structs. The verifier does not check the alignment of the elements.
    template <class Element, class Vector> Element elementAt(const Vector& vector, flatbuffers::uoffset_t i)
    {
        Element element;
        std::memcpy(&element, vector.Data() + i * sizeof element, sizeof element);
        return element;
    }

    /// Limits a figure of a load report to the range of its field.
    std::uint16_t toField(double n)
    {
        return static_cast<std::uint16_t>(std::clamp(n, 0.0, 65535.0));
    }

    std::vector<wire::ServerLoad> pack(const std::vector<routing::SharedLoad>& loads)
    {
        std::vector<wire::ServerLoad> packed;
        for (const auto& it : loads)
            packed.emplace_back(it.server, toField(it.running), toField(it.queued), toField(it.slowdown * 100),
                toField(toMilliseconds(it.age)));
        return packed;
    }

    /// Returns an empty vector if no report has a time ratio, so that the message is the same as before they existed.
    std::vector<std::uint16_t> packTimeRatios(const std::vector<routing::SharedLoad>& loads)
    {
        std::vector<std::uint16_t> percents;
        for (const auto& it : loads)
            percents.push_back(it.timeRatio > 0 ? std::max<std::uint16_t>(1, toField(it.timeRatio * 100)) : 0);
        return std::all_of(percents.begin(), percents.end(), [](auto it) { return it == 0; })
            ? std::vector<std::uint16_t>()
            : percents;
    }

    std::vector<routing::SharedLoad> unpack(
        const flatbuffers::Vector<const wire::ServerLoad*>* loads, const flatbuffers::Vector<std::uint16_t>* ratios)
    {
        std::vector<routing::SharedLoad> out;
        const auto n = loads == nullptr ? 0 : std::min<std::size_t>(loads->size(), maxLoads);
        for (flatbuffers::uoffset_t i = 0; i < n; ++i) {
            const auto load = elementAt<wire::ServerLoad>(*loads, i);
            // A slowdown of 0 would make a server look infinitely fast.
            const double slowdown = std::max<std::uint16_t>(1, load.slowdown_percent()) / 100.0;
            const auto timePercent = ratios != nullptr && i < ratios->size()
                ? flatbuffers::EndianScalar(elementAt<std::uint16_t>(*ratios, i))
                : 0;
            out.push_back({ load.server(), load.running(), load.queued(), slowdown,
                std::chrono::milliseconds(load.age_ms()), timePercent / 100.0 });
        }
        return out;
    }

    std::vector<wire::ColdServer> pack(const std::vector<routing::ColdNotice>& notices)
    {
        std::vector<wire::ColdServer> packed;
        for (const auto& it : notices)
            packed.emplace_back(
                it.server, static_cast<std::uint32_t>(std::clamp<double>(toMilliseconds(it.remaining), 0, maxColdMs)));
        return packed;
    }

    std::vector<routing::ColdNotice> unpack(const flatbuffers::Vector<const wire::ColdServer*>* notices)
    {
        std::vector<routing::ColdNotice> out;
        const auto n
            = notices == nullptr ? 0 : std::min<std::size_t>(notices->size(), routing::ColdNotices::maxNotices);
        for (flatbuffers::uoffset_t i = 0; i < n; ++i) {
            const auto notice = elementAt<wire::ColdServer>(*notices, i);
            out.push_back({ notice.server(), std::chrono::milliseconds(std::min(notice.remaining_ms(), maxColdMs)) });
        }
        return out;
    }

    auto pack(FlatBufferBuilder& fbb, const Digest& digest)
    {
        std::vector<flatbuffers::Offset<wire::Member>> members;
        for (const auto& it : digest.members)
            members.push_back(pack(fbb, it));
        std::vector<flatbuffers::Offset<wire::ServerNotice>> servers;
        for (const auto& it : digest.servers)
            servers.push_back(wire::CreateServerNoticeDirect(fbb, it.server.value().c_str(), it.leaving, it.sequence));
        const auto sender = pack(fbb, digest.sender);
        const auto memberVector = fbb.CreateVector(members);
        const auto serverVector = fbb.CreateVector(servers);
        // Without load reports the message is the same as before they existed.
        const auto loads = digest.loads.empty() ? 0 : fbb.CreateVectorOfStructs(pack(digest.loads));
        const auto coldServers = digest.coldServers.empty() ? 0 : fbb.CreateVectorOfStructs(pack(digest.coldServers));
        const auto timeRatios = packTimeRatios(digest.loads);
        const auto timeRatioVector = timeRatios.empty() ? 0 : fbb.CreateVector(timeRatios);
        return wire::CreateDigest(
            fbb, sender, memberVector, serverVector, loads, coldServers, timeRatioVector, digest.configVersion.value());
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

    std::vector<flatbuffers::Offset<wire::Piece>> pack(
        FlatBufferBuilder& fbb, const std::vector<serving::Piece>& pieces)
    {
        std::vector<flatbuffers::Offset<wire::Piece>> packed;
        for (const auto& it : pieces) {
            const auto inputs = fbb.CreateVectorOfStrings(it.inputs);
            packed.push_back(wire::CreatePiece(fbb, fbb.CreateString(it.request), static_cast<std::uint32_t>(it.stage),
                it.index, fbb.CreateString(it.key), inputs,
                it.readsResults ? wire::PieceInput::Results : wire::PieceInput::Key));
        }
        return packed;
    }

    flatbuffers::Offset<wire::PieceMade> pack(FlatBufferBuilder& fbb, const serving::IndexedPieceResult& piece)
    {
        const auto* result = std::get_if<serving::ResultHandle>(&piece.result);
        if (result == nullptr)
            return wire::CreatePieceMadeDirect(
                fbb, piece.index, nullptr, static_cast<std::uint8_t>(std::get<serving::PieceFailure>(piece.result)));
        const auto& producer = result->producer;
        return wire::CreatePieceMadeDirect(fbb, piece.index, result->value.c_str(), 0, producer.id.value().c_str(),
            producer.host.c_str(), producer.port, producer.zone.value().c_str());
    }

    std::int64_t microseconds(Duration d)
    {
        return std::chrono::duration_cast<std::chrono::microseconds>(d).count();
    }

    std::vector<std::int64_t> packWaits(const std::array<Duration, serving::reportedPriorities>& waits)
    {
        std::vector<std::int64_t> out;
        for (const auto wait : waits)
            out.push_back(microseconds(wait));
        return out;
    }

    /// Packs each kind of piece message into its own FlatBuffers table.
    struct PieceUpdatePacker {
        FlatBufferBuilder& fbb;
        const Member& sender;

        flatbuffers::Offset<wire::Envelope> operator()(const serving::PieceRequest& it) const
        {
            const auto pieces = pack(fbb, it.pieces);
            std::vector<flatbuffers::Offset<flatbuffers::String>> zones;
            for (const auto& zone : it.allowedZones)
                zones.push_back(fbb.CreateString(zone.value()));
            return wrap(wire::Body::PiecesAsked,
                wire::CreatePiecesAskedDirect(fbb, pack(fbb, sender), it.group.value(), it.service.value().c_str(),
                    &pieces, it.priority, microseconds(it.remainingTimeToTarget), microseconds(it.remainingTime),
                    it.preferredZone.value().c_str(), microseconds(it.remainingTimeInZone), it.resultBytes, it.repeated,
                    zones.empty() ? nullptr : &zones));
        }
        flatbuffers::Offset<wire::Envelope> operator()(const serving::PieceRequestAck& it) const
        {
            const auto waits = packWaits(it.waits.byPriority);
            const auto lateWaits = packWaits(it.waits.lateByPriority);
            return wrap(wire::Body::PiecesTaken,
                wire::CreatePiecesTakenDirect(
                    fbb, pack(fbb, sender), it.group.value(), &waits, microseconds(it.waits.late), &lateWaits));
        }
        flatbuffers::Offset<wire::Envelope> operator()(const serving::PieceRequestCancel& it) const
        {
            return wrap(
                wire::Body::PiecesCancelled, wire::CreatePiecesCancelled(fbb, pack(fbb, sender), it.group.value()));
        }
        flatbuffers::Offset<wire::Envelope> operator()(const serving::PieceResults& it) const
        {
            std::vector<flatbuffers::Offset<wire::PieceMade>> pieces;
            for (const auto& piece : it.pieces)
                pieces.push_back(pack(fbb, piece));
            const auto waits = packWaits(it.waits.byPriority);
            const auto lateWaits = packWaits(it.waits.lateByPriority);
            return wrap(wire::Body::PiecesMade,
                wire::CreatePiecesMadeDirect(fbb, pack(fbb, sender), it.group.value(), &pieces,
                    it.service.value().c_str(), &waits, microseconds(it.waits.late), &lateWaits));
        }
        flatbuffers::Offset<wire::Envelope> operator()(const serving::ReleaseResults& it) const
        {
            const auto handles = fbb.CreateVectorOfStrings(it.handles);
            return wrap(wire::Body::ResultsReleased,
                wire::CreateResultsReleased(fbb, pack(fbb, sender), fbb.CreateString(it.service.value()),
                    fbb.CreateString(it.producer.id.value()), fbb.CreateString(it.producer.host), it.producer.port,
                    fbb.CreateString(it.producer.zone.value()), handles));
        }

        template <class T> flatbuffers::Offset<wire::Envelope> wrap(wire::Body type, flatbuffers::Offset<T> body) const
        {
            return wire::CreateEnvelope(fbb, type, body.Union());
        }
    };

    struct Packer {
        FlatBufferBuilder& fbb;

        auto operator()(const TableUpdate& it) const
        {
            std::vector<flatbuffers::Offset<wire::Row>> rows;
            for (const auto& row : it.changes.rows) {
                const auto value = row.delta ? row.delta->added : row.value.value_or(std::string());
                const auto bytes = fbb.CreateVector(reinterpret_cast<const std::uint8_t*>(value.data()), value.size());
                std::vector<wire::Copy> copies;
                if (row.delta) {
                    for (const auto& copy : row.delta->copies)
                        copies.emplace_back(copy.offset, copy.size, copy.newBytes);
                }
                rows.push_back(wire::CreateRow(fbb, fbb.CreateString(row.key), bytes, !row.value && !row.delta,
                    fbb.CreateVectorOfStructs(copies), row.delta ? row.delta->hash : 0));
            }
            return wrap(wire::Body::TableNews,
                wire::CreateTableNewsDirect(fbb, pack(fbb, it.sender), it.table.c_str(), it.baseVersion,
                    it.changes.version, microseconds(it.changes.storeTime), &rows, it.changes.epoch.value(),
                    it.answered, microseconds(it.age), it.complete));
        }
        auto operator()(const TableRequest& it) const
        {
            return wrap(wire::Body::TableAsked,
                wire::CreateTableAskedDirect(fbb, pack(fbb, it.sender), it.table.c_str(), it.version, it.epoch.value(),
                    it.sequence, microseconds(it.age)));
        }
        auto operator()(const PieceUpdate& it) const
        {
            return std::visit(PieceUpdatePacker { fbb, it.sender }, it.message);
        }
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
                wire::CreateConfigRequest(fbb, pack(fbb, it.sender), it.version.value(), it.currentVersion.value()));
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

    std::string stringOrEmpty(const flatbuffers::String* text)
    {
        return text == nullptr ? std::string() : text->str();
    }

    Member unpack(const wire::Member* member)
    {
        Member out;
        if (member == nullptr)
            return out;
        out.id = InstanceId(stringOrEmpty(member->id()));
        out.endpoint = { stringOrEmpty(member->host()), member->port() };
        out.zone = AvailabilityZoneId(stringOrEmpty(member->zone()));
        out.incarnation = Incarnation(member->incarnation());
        out.state = static_cast<MemberState>(
            std::min<std::uint8_t>(member->state(), static_cast<std::uint8_t>(MemberState::Dead)));
        out.configVersion = ConfigVersion(member->config());
        out.cores = member->cores();
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
                out.servers.push_back({ BackendServerId(stringOrEmpty(it->server())), it->leaving(), it->sequence() });
        }
        out.loads = unpack(digest->loads(), digest->load_time_percents());
        out.coldServers = unpack(digest->cold_servers());
        out.configVersion = ConfigVersion(digest->config_version());
        return out;
    }

    std::vector<AccountRate> unpack(const flatbuffers::Vector<flatbuffers::Offset<wire::AccountRate>>* rates)
    {
        std::vector<AccountRate> out;
        if (rates == nullptr)
            return out;
        for (const auto* it : *rates)
            out.push_back({ ClientAccountId(stringOrEmpty(it->account())), it->per_second() });
        return out;
    }

    std::vector<config::Patch> unpack(const flatbuffers::Vector<flatbuffers::Offset<wire::Patch>>* patches)
    {
        std::vector<config::Patch> out;
        if (patches == nullptr)
            return out;
        for (const auto* it : *patches)
            out.push_back({ ConfigVersion(it->from()), ConfigVersion(it->to()), it->head(), it->tail(),
                stringOrEmpty(it->middle()), stringOrEmpty(it->hash()) });
        return out;
    }

    /// Returns whether the input of a piece are results. A message of an earlier build does not say it: such a build
    /// sends no key with a piece that reads results, and a key that callers choose is not empty.
    bool readsResults(const wire::Piece& piece)
    {
        if (piece.input() != wire::PieceInput::Unknown)
            return piece.input() == wire::PieceInput::Results;
        const bool hasInputs = piece.inputs() != nullptr && piece.inputs()->size() > 0;
        return hasInputs || stringOrEmpty(piece.key()).empty();
    }

    serving::PieceRequest unpack(const wire::PiecesAsked& request)
    {
        serving::PieceRequest out;
        out.group = serving::PieceGroupId(request.group());
        out.service = ServiceId(stringOrEmpty(request.service()));
        out.priority = request.priority();
        out.remainingTimeToTarget = boundedMicroseconds(request.goal_us());
        out.remainingTime = boundedMicroseconds(request.left_us());
        out.preferredZone = AvailabilityZoneId(stringOrEmpty(request.zone()));
        out.remainingTimeInZone = boundedMicroseconds(request.zone_us());
        out.resultBytes = request.result_bytes();
        out.repeated = request.repeated();
        if (const auto* zones = request.allowed_zones()) {
            for (const auto* it : *zones)
                out.allowedZones.emplace_back(it->str());
        }
        if (request.pieces() == nullptr)
            return out;
        for (const auto* it : *request.pieces()) {
            serving::Piece piece { stringOrEmpty(it->request()), it->stage(), it->index(), stringOrEmpty(it->key()), {},
                readsResults(*it) };
            if (it->inputs() != nullptr) {
                for (const auto* input : *it->inputs())
                    piece.inputs.push_back(input->str());
            }
            out.pieces.push_back(std::move(piece));
        }
        return out;
    }

    /// Reads the waits that a message contains; the others remain as they are.
    void unpackWaits(
        const flatbuffers::Vector<std::int64_t>* reported, std::array<Duration, serving::reportedPriorities>& waits)
    {
        const auto n = reported == nullptr ? 0 : std::min<std::size_t>(reported->size(), waits.size());
        for (flatbuffers::uoffset_t i = 0; i < n; ++i)
            waits.at(i) = boundedMicroseconds(flatbuffers::EndianScalar(elementAt<std::int64_t>(*reported, i)));
    }

    /// Reads the queue waits from a message that contains them.
    template <class T> serving::QueueWaits unpackWaits(const T& message)
    {
        serving::QueueWaits waits;
        unpackWaits(message.waits_us(), waits.byPriority);
        waits.late = boundedMicroseconds(message.late_us());
        // Older instances report the wait behind all pieces only.
        waits.lateByPriority.fill(waits.late);
        unpackWaits(message.late_waits_us(), waits.lateByPriority);
        return waits;
    }

    serving::PieceRequestAck unpack(const wire::PiecesTaken& ack)
    {
        return { serving::PieceGroupId(ack.group()), unpackWaits(ack) };
    }

    serving::PieceResults unpack(const wire::PiecesMade& result)
    {
        serving::PieceResults out { serving::PieceGroupId(result.group()), ServiceId(stringOrEmpty(result.service())),
            {}, unpackWaits(result) };
        if (result.pieces() == nullptr)
            return out;
        for (const auto* it : *result.pieces()) {
            if (const auto handle = stringOrEmpty(it->handle()); !handle.empty()) {
                const config::BackendServer producer { BackendServerId(stringOrEmpty(it->server())),
                    stringOrEmpty(it->host()), it->port(), AvailabilityZoneId(stringOrEmpty(it->zone())) };
                out.pieces.push_back({ it->index(), serving::ResultHandle { handle, producer, out.service } });
            } else {
                // Newer instances may have further reasons.
                const bool isKnown = it->failure() <= static_cast<std::uint8_t>(serving::PieceFailure::ServiceUnknown);
                out.pieces.push_back({ it->index(),
                    isKnown ? static_cast<serving::PieceFailure>(it->failure()) : serving::PieceFailure::Failed });
            }
        }
        return out;
    }

    serving::ReleaseResults unpack(const wire::ResultsReleased& release)
    {
        serving::ReleaseResults out { ServiceId(stringOrEmpty(release.service())),
            { BackendServerId(stringOrEmpty(release.server())), stringOrEmpty(release.host()), release.port(),
                AvailabilityZoneId(stringOrEmpty(release.zone())) },
            {} };
        if (const auto* handles = release.handles()) {
            for (const auto* it : *handles)
                out.handles.push_back(it->str());
        }
        return out;
    }

    TextDelta unpackDelta(const flatbuffers::Vector<const wire::Copy*>& copies, std::string added, std::uint64_t hash)
    {
        TextDelta delta { {}, std::move(added), hash };
        for (flatbuffers::uoffset_t i = 0; i < copies.size(); ++i) {
            const auto copy = elementAt<wire::Copy>(copies, i);
            delta.copies.push_back({ copy.offset(), copy.size(), copy.new_bytes() });
        }
        return delta;
    }

    TableUpdate unpack(const wire::TableNews& update)
    {
        TableUpdate out { unpack(update.sender()), stringOrEmpty(update.table()), update.after(), {} };
        out.changes.outcome = store::FeedOutcome::Success;
        out.changes.version = update.version();
        out.changes.epoch = store::StoreEpoch(update.epoch());
        out.changes.storeTime = boundedMicroseconds(update.store_us());
        out.answered = update.answered();
        out.age = boundedMicroseconds(update.age_us());
        out.complete = update.complete();
        if (update.rows() == nullptr)
            return out;
        for (const auto* it : *update.rows()) {
            store::FeedRow row { stringOrEmpty(it->key()), std::nullopt };
            auto value = it->value() == nullptr ? std::string() : std::string(it->value()->begin(), it->value()->end());
            if (it->copies() != nullptr && it->copies()->size() > 0)
                row.delta = unpackDelta(*it->copies(), std::move(value), it->hash());
            else if (!it->deleted())
                row.value = std::move(value);
            out.changes.rows.push_back(std::move(row));
        }
        return out;
    }

    TableRequest unpack(const wire::TableAsked& request)
    {
        return { unpack(request.sender()), stringOrEmpty(request.table()), request.version(),
            store::StoreEpoch(request.epoch()), request.sequence(), boundedMicroseconds(request.age_us()) };
    }

    std::optional<Message> unpackPieceUpdate(const wire::Envelope& envelope)
    {
        if (const auto* it = envelope.body_as_PiecesAsked())
            return PieceUpdate { unpack(it->sender()), unpack(*it) };
        if (const auto* it = envelope.body_as_PiecesTaken())
            return PieceUpdate { unpack(it->sender()), unpack(*it) };
        if (const auto* it = envelope.body_as_PiecesCancelled())
            return PieceUpdate { unpack(it->sender()),
                serving::PieceRequestCancel { serving::PieceGroupId(it->group()) } };
        if (const auto* it = envelope.body_as_PiecesMade())
            return PieceUpdate { unpack(it->sender()), unpack(*it) };
        if (const auto* it = envelope.body_as_ResultsReleased())
            return PieceUpdate { unpack(it->sender()), unpack(*it) };
        return std::nullopt;
    }

    bool hasSender(const membership::Member& sender)
    {
        return !sender.id.empty();
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
    if (bytes.size() > maxMessageBytes)
        return fail(Errc::TooLarge, "peer message exceeds the maximum size");
    flatbuffers::Verifier verifier(bytes.data(), bytes.size(), maxNestingDepth, maxTables);
    if (bytes.size() < sizeof(std::uint64_t) || !wire::EnvelopeBufferHasIdentifier(bytes.data())
        || !wire::VerifyEnvelopeBuffer(verifier))
        return fail(Errc::ParseFailed, "peer message failed FlatBuffers verification");
    const auto* envelope = wire::GetEnvelope(bytes.data());
    if (const auto* it = envelope->body_as_Ping()) {
        Ping ping { it->sequence(), InstanceId(stringOrEmpty(it->target())), unpack(it->digest()) };
        if (hasSender(ping.digest.sender))
            return Message(std::move(ping));
    } else if (const auto* ack = envelope->body_as_Ack()) {
        Ack out { ack->sequence(), InstanceId(stringOrEmpty(ack->target())), unpack(ack->digest()) };
        if (hasSender(out.digest.sender))
            return Message(std::move(out));
    } else if (const auto* request = envelope->body_as_ConfigRequest()) {
        ConfigRequest out { unpack(request->sender()), ConfigVersion(request->version()),
            ConfigVersion(request->have()) };
        if (hasSender(out.sender))
            return Message(std::move(out));
    } else if (const auto* reply = envelope->body_as_ConfigReply()) {
        return Message(ConfigReply { ConfigVersion(reply->version()), stringOrEmpty(reply->text()),
            stringOrEmpty(reply->hash()), unpack(reply->patches()) });
    } else if (const auto* demand = envelope->body_as_Demand()) {
        Demand out { unpack(demand->sender()), unpack(demand->rates()) };
        if (hasSender(out.sender))
            return Message(std::move(out));
    } else if (const auto* allowance = envelope->body_as_Allowance()) {
        return Message(Allowance { unpack(allowance->rates()) });
    } else if (const auto* table = envelope->body_as_TableNews()) {
        auto out = unpack(*table);
        if (hasSender(out.sender))
            return Message(std::move(out));
    } else if (const auto* asked = envelope->body_as_TableAsked()) {
        auto out = unpack(*asked);
        if (hasSender(out.sender))
            return Message(std::move(out));
    } else if (auto pieceUpdate = unpackPieceUpdate(*envelope)) {
        if (hasSender(std::get<PieceUpdate>(*pieceUpdate).sender))
            return std::move(*pieceUpdate);
    }
    return fail(Errc::ParseFailed, "peer message has an unknown type or no sender");
}

} // namespace foxtailwheel::peer
