#include "foxtailwheel/standin/FaultInjector.h"

#include "foxtailwheel/base/Json.h"

#include <algorithm>
#include <array>

namespace foxtailwheel::standin {

namespace {

    constexpr std::array<std::string_view, 9> kindNames { "refuse", "fail", "close_before", "close_middle",
        "close_after", "silent", "late", "leaving", "pause" };

} // namespace

void FaultInjector::setFault(Fault fault, std::uint64_t count)
{
    const std::lock_guard lock(m_mutex);
    m_fault = fault;
    m_remaining = count;
}

bool FaultInjector::setFromJson(const std::string& text)
{
    const auto node = nlohmann::json::parse(text, nullptr, false);
    const auto name = std::find(kindNames.begin(), kindNames.end(), textAt(node, "kind"));
    if (name == kindNames.end())
        return false;
    const auto delay = std::chrono::milliseconds(unsignedAt(node, "delay_ms"));
    setFault({ static_cast<FaultKind>(name - kindNames.begin()), delay }, unsignedAt(node, "count", 1));
    return true;
}

std::optional<Fault> FaultInjector::nextFault()
{
    const std::lock_guard lock(m_mutex);
    if (m_remaining == 0)
        return std::nullopt;
    --m_remaining;
    return m_fault;
}

} // namespace foxtailwheel::standin
