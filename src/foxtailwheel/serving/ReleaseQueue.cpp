#include "foxtailwheel/serving/ReleaseQueue.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace foxtailwheel::serving {

namespace {

    using namespace std::chrono_literals;

    /// Time to collect releases of results for the same server; a longer delay would occupy capacity that waiting
    /// pieces need.
    constexpr Duration collectDelay = 5ms;
    /// Servers drop results within a few seconds by themselves, so a later release has no use.
    constexpr Duration maxHoldTime = 10s;

} // namespace

void ReleaseQueue::add(const ReleaseResults& release, TimePoint now)
{
    const auto& producer = release.producer;
    const auto [it, isNew]
        = m_entries.try_emplace({ producer.host, producer.port }, Entry { release, now + collectDelay });
    if (isNew)
        return;
    auto& handles = it->second.release.handles;
    handles.insert(handles.end(), release.handles.begin(), release.handles.end());
}

void ReleaseQueue::dropIf(const std::function<bool(const AvailabilityZoneId&)>& isDrained)
{
    std::erase_if(m_entries, [&](const auto& it) { return isDrained(it.second.release.producer.zone); });
}

std::vector<ReleaseResults> ReleaseQueue::takeDue(TimePoint now, const PausedUntil& pausedUntil)
{
    std::vector<ReleaseResults> due;
    for (auto it = m_entries.begin(); it != m_entries.end();) {
        auto& entry = it->second;
        const auto until
            = entry.dueAt <= now ? pausedUntil(entry.release.service, entry.release.producer.id) : std::nullopt;
        if (entry.dueAt > now || (until && *until - now <= maxHoldTime)) {
            entry.dueAt = std::max(entry.dueAt, until.value_or(entry.dueAt));
            ++it;
            continue;
        }
        if (!until)
            due.push_back(std::move(entry.release));
        it = m_entries.erase(it);
    }
    return due;
}

std::optional<TimePoint> ReleaseQueue::nextDueAt() const
{
    std::optional<TimePoint> next;
    for (const auto& it : m_entries)
        next = std::min(next.value_or(TimePoint::max()), it.second.dueAt);
    return next;
}

} // namespace foxtailwheel::serving
