#pragma once

#include "foxtailwheel/base/Error.h"
#include "foxtailwheel/config/Patch.h"
#include "foxtailwheel/membership/Member.h"
#include "foxtailwheel/serving/PieceBroker.h"
#include "foxtailwheel/store/Feed.h"

#include <cstdint>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace foxtailwheel::peer {

/// @brief Send me this version of the configuration.
struct ConfigRequest {
    membership::Member sender;
    ConfigVersion version; ///< Wanted.
    ConfigVersion have; ///< In force at the sender; patches from there will do.

    friend bool operator==(const ConfigRequest&, const ConfigRequest&) = default;
};

/// @brief A text of the configuration, or the patches that lead to it; both empty where the asked instance has neither.
struct ConfigReply {
    ConfigVersion version;
    std::string text;
    std::string hash; ///< SHA-256 of the text.
    std::vector<config::Patch> patches; ///< In their order.

    friend bool operator==(const ConfigReply&, const ConfigReply&) = default;
};

/// @brief A rate of one client account.
struct AccountRate {
    ClientAccountId account;
    double perSecond = 0;

    friend bool operator==(const AccountRate&, const AccountRate&) = default;
};

/// @brief What an instance was asked for, told to the accounts' owner.
struct Demand {
    membership::Member sender;
    std::vector<AccountRate> rates;

    friend bool operator==(const Demand&, const Demand&) = default;
};

/// @brief What an instance may use, told by the accounts' owner.
struct Allowance {
    std::vector<AccountRate> rates;

    friend bool operator==(const Allowance&, const Allowance&) = default;
};

/// @brief What an instance tells another about pieces.
struct PieceNews {
    membership::Member sender;
    serving::PieceMessage news;

    friend bool operator==(const PieceNews&, const PieceNews&) = default;
};

/// @brief Changes of a table of the store, passed on by the instance that asked for them.
struct TableNews {
    membership::Member sender;
    std::string table;
    std::uint64_t after = 0; ///< The changes follow on this version.
    store::FeedAnswer answer;

    friend bool operator==(const TableNews&, const TableNews&) = default;
};

/// @brief Any message between instances.
using Message = std::variant<membership::Ping, membership::Ack, ConfigRequest, ConfigReply, Demand, Allowance,
    PieceNews, TableNews>;

/// @brief Most bytes of one encoded message.
constexpr std::size_t largestMessageBytes = 20U << 20U;

/// @brief Message as bytes (FlatBuffers).
std::string encodeMessage(const Message& message);

/// @brief Bytes as message. Everything is verified before it is used.
/// @return `Errc::ParseFailed` or `Errc::TooLarge`.
Result<Message> decodeMessage(std::span<const std::uint8_t> bytes);

} // namespace foxtailwheel::peer
