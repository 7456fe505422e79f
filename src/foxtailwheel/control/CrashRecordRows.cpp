#include "foxtailwheel/control/CrashRecordRows.h"

#include <charconv>
#include <string_view>

namespace foxtailwheel::control {

namespace {

    /// Key: part, number and server, separated by slashes. Value: milliseconds since the epoch.
    constexpr char separator = '/';
    /// Times of records are subtracted from each other.
    constexpr std::int64_t maxTime = 9'000'000'000'000;

    std::string keyOf(const serving::CrashRecord& record)
    {
        return std::to_string(record.part.value()) + separator + std::to_string(record.number) + separator
            + record.server.value();
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

} // namespace

std::vector<store::FeedRow> encodeCrashRecords(const serving::CrashRecordUpdate& update)
{
    std::vector<store::FeedRow> rows;
    for (const auto& it : update.added)
        rows.push_back({ keyOf(it), std::to_string(it.at.time_since_epoch().count()) });
    for (const auto& it : update.removed)
        rows.push_back({ keyOf(it), std::nullopt });
    return rows;
}

std::optional<serving::CrashRecord> decodeCrashRecord(const std::string& key, const std::string& value)
{
    std::string_view rest = key;
    std::uint64_t part = 0;
    serving::CrashRecord record;
    std::int64_t at = 0;
    const auto [end, ec] = std::from_chars(value.data(), value.data() + value.size(), at);
    if (!takeNumber(rest, part) || !takeNumber(rest, record.number) || rest.empty() || ec != std::errc()
        || end != value.data() + value.size() || at < 0 || at > maxTime)
        return std::nullopt;
    record.part = serving::PromptPartId(part);
    record.at = WallTime(std::chrono::milliseconds(at));
    record.server = BackendServerId(std::string(rest));
    return record;
}

} // namespace foxtailwheel::control
