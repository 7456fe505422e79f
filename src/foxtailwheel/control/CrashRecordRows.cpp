#include "foxtailwheel/control/CrashRecordRows.h"

#include "foxtailwheel/base/Hash.h"

#include <charconv>
#include <string_view>

namespace foxtailwheel::control {

namespace {

    /// Key: part, number and server, separated by slashes. Value: milliseconds since the epoch.
    constexpr char separator = '/';
    /// Begins the key of a part that has no number. Earlier builds know numbers only and ignore such a row.
    constexpr char textMark = 'x';
    /// Begins the value of a record that is complete. Earlier builds read the same number.
    constexpr char completeMark = '0';
    /// Longest key that a store accepts, in bytes.
    constexpr std::size_t maxKeyBytes = 200;
    /// Times of records are subtracted from each other.
    constexpr std::int64_t maxTime = 9'000'000'000'000;

    std::string keyOf(const serving::CrashRecord& record)
    {
        const auto number = serving::toNumber(record.part);
        const auto crash = (number ? std::to_string(*number) : textMark + record.part.value()) + separator
            + std::to_string(record.number) + separator;
        const auto& server = record.server.value();
        // The server only tells crashes apart.
        return crash + (crash.size() + server.size() <= maxKeyBytes ? server : sha256Hex(server));
    }

    std::string valueOf(const serving::CrashRecord& record)
    {
        const auto time = std::to_string(record.at.time_since_epoch().count());
        return record.isComplete ? completeMark + time : time;
    }

    /// Parses a number at the start of `text` and removes it with the separator behind it.
    template <class T> bool takeNumber(std::string_view& text, T& n)
    {
        const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), n);
        if (ec != std::errc())
            return false;
        text.remove_prefix(static_cast<std::size_t>(end - text.data()));
        if (!text.starts_with(separator))
            return false;
        text.remove_prefix(1);
        return true;
    }

    /// Parses a part at the start of `text` and removes it with the separator behind it.
    std::optional<serving::PromptPartId> takePart(std::string_view& text)
    {
        std::uint64_t number = 0;
        if (!text.starts_with(textMark))
            return takeNumber(text, number) ? std::optional(serving::promptPartIdOf(number)) : std::nullopt;
        const auto end = text.find(separator);
        if (end == std::string_view::npos || !serving::isPromptPartId(text.substr(1, end - 1)))
            return std::nullopt;
        const serving::PromptPartId part(std::string(text.substr(1, end - 1)));
        text.remove_prefix(end + 1);
        // A part has one key, by which its records are removed.
        return serving::toNumber(part) ? std::nullopt : std::optional(part);
    }

} // namespace

std::vector<store::FeedRow> encodeCrashRecords(const serving::CrashRecordUpdate& update)
{
    std::vector<store::FeedRow> rows;
    for (const auto& it : update.added)
        rows.push_back({ keyOf(it), valueOf(it) });
    for (const auto& it : update.removed)
        rows.push_back({ keyOf(it), std::nullopt });
    return rows;
}

std::optional<serving::CrashRecord> decodeCrashRecord(const std::string& key, const std::string& value)
{
    std::string_view rest = key;
    serving::CrashRecord record;
    std::int64_t at = 0;
    const auto [end, ec] = std::from_chars(value.data(), value.data() + value.size(), at);
    const auto part = takePart(rest);
    if (!part || !takeNumber(rest, record.number) || rest.empty() || ec != std::errc()
        || end != value.data() + value.size() || at < 0 || at > maxTime)
        return std::nullopt;
    record.part = *part;
    record.at = WallTime(std::chrono::milliseconds(at));
    record.server = BackendServerId(std::string(rest));
    record.isComplete = value.starts_with(completeMark);
    return record;
}

} // namespace foxtailwheel::control
