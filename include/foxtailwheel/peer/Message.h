#pragma once

#include "foxtailwheel/base/Error.h"
#include "foxtailwheel/config/Patch.h"
#include "foxtailwheel/membership/Member.h"
#include "foxtailwheel/serving/PieceBroker.h"
#include "foxtailwheel/store/ChangeFeed.h"

#include <cstdint>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace foxtailwheel::peer {

/// @brief Request for a version of the configuration.
struct ConfigRequest {
    membership::Member sender;
    ConfigVersion version; ///< Requested version.
    ConfigVersion
        currentVersion; ///< Version in force on the sender; the reply may contain patches from it instead of the text.

    friend bool operator==(const ConfigRequest&, const ConfigRequest&) = default;
};

/// @brief Text of the configuration, or the patches that lead to it; both are empty if the sender has neither.
struct ConfigReply {
    ConfigVersion version;
    std::string text;
    std::string hash; ///< SHA-256 of the text.
    std::vector<config::Patch> patches; ///< In the order in which they apply.

    friend bool operator==(const ConfigReply&, const ConfigReply&) = default;
};

/// @brief Request rate of one client account.
struct AccountRate {
    ClientAccountId account;
    double perSecond = 0;

    friend bool operator==(const AccountRate&, const AccountRate&) = default;
};

/// @brief Request rates observed by an instance; sent to the instance that owns the rate limits of the accounts.
struct Demand {
    membership::Member sender;
    std::vector<AccountRate> rates;

    friend bool operator==(const Demand&, const Demand&) = default;
};

/// @brief Request rates granted to an instance by the instance that owns the rate limits of the accounts.
struct Allowance {
    std::vector<AccountRate> rates;

    friend bool operator==(const Allowance&, const Allowance&) = default;
};

/// @brief A message about pieces of a batch, with its sender.
struct PieceUpdate {
    membership::Member sender;
    serving::PieceMessage message;

    friend bool operator==(const PieceUpdate&, const PieceUpdate&) = default;
};

/// @brief Changes of a table of the store, forwarded by the instance that fetched them.
struct TableUpdate {
    membership::Member sender;
    std::string table;
    std::uint64_t baseVersion = 0; ///< Version of the table that the changes apply to.
    store::FeedResult changes;
    std::uint64_t answered = 0; ///< Sequence of the request that this answers, from 1; 0 for none.
    Duration age {}; ///< Of an answer: upper bound of the age of the copy that it was made from.
    bool complete = false; ///< Of an answer: the rows are the whole table.

    friend bool operator==(const TableUpdate&, const TableUpdate&) = default;
};

/// @brief Asks for what the receiver knows of a table beyond the sender's copy.
struct TableRequest {
    membership::Member sender;
    std::string table;
    std::uint64_t version = 0; ///< Of the sender's copy; 0 if it has none.
    store::StoreEpoch epoch;
    std::uint64_t sequence = 0; ///< From 1, repeated by the answer.
    Duration age {}; ///< Upper bound of the age of the sender's copy.

    friend bool operator==(const TableRequest&, const TableRequest&) = default;
};

/// @brief Any message between instances.
using Message = std::variant<membership::Ping, membership::Ack, ConfigRequest, ConfigReply, Demand, Allowance,
    PieceUpdate, TableUpdate, TableRequest>;

/// @brief Maximum size of an encoded message in bytes.
constexpr std::size_t maxMessageBytes = 20U << 20U;

/// @brief Encodes a message with FlatBuffers.
std::string encodeMessage(const Message& message);

/// @brief Decodes a message; verifies the whole buffer before any access.
/// @return The message, or `Errc::ParseFailed` or `Errc::TooLarge`.
Result<Message> decodeMessage(std::span<const std::uint8_t> bytes);

} // namespace foxtailwheel::peer
