#include "foxtailwheel/control/Lease.h"

#include "foxtailwheel/base/Json.h"

namespace foxtailwheel::control {

namespace {

    using namespace std::chrono_literals;
    using store::TransactEnd;

    constexpr Duration readPeriod = 1s;

} // namespace

std::string leaseKey(const ServiceId& pool)
{
    return "lease/" + pool.value();
}

std::string encodeLeaseRow(const LeaseRow& row)
{
    return nlohmann::json {
        { "holder", row.holder.value() }, { "fencing", row.fencing.value() }, { "renewals", row.renewals }
    }.dump();
}

std::optional<LeaseRow> decodeLeaseRow(const std::string& text)
{
    const auto node = nlohmann::json::parse(text, nullptr, false);
    if (countAt(node, "fencing") == 0)
        return std::nullopt;
    return LeaseRow { InstanceId(textAt(node, "holder")), FencingNumber(countAt(node, "fencing")),
        countAt(node, "renewals") };
}

Lease::Lease(ServiceId pool, InstanceId self, LeaseOptions options)
    : m_options(options)
    , m_pool(std::move(pool))
    , m_self(std::move(self))
    , m_key(leaseKey(m_pool))
{
}

LeaseStep Lease::step(TimePoint now) const
{
    if (m_waiting)
        return LeaseStep::None;
    if (!m_known)
        return now >= m_readAt ? LeaseStep::Read : LeaseStep::None;
    if (m_held)
        return now >= m_sentAt + m_options.renewAfter ? LeaseStep::Write : LeaseStep::None;
    const bool free = m_rowVersion == 0 || now >= m_unchangedSince + m_options.life;
    if (free)
        return LeaseStep::Write;
    return now >= m_readAt ? LeaseStep::Read : LeaseStep::None;
}

store::Transaction Lease::beginWrite(TimePoint now)
{
    m_waiting = true;
    m_sentAt = now;
    m_wanted = m_held ? LeaseRow { m_self, m_row.fencing, m_row.renewals + 1 }
                      : LeaseRow { m_self, m_row.fencing.next(), 0 };
    const auto condition = m_rowVersion == 0 ? std::nullopt : std::optional(m_rowVersion);
    return { { { m_key, condition } }, { { m_key, encodeLeaseRow(m_wanted) } } };
}

void Lease::onRead(const store::ReadResult& result, TimePoint now)
{
    m_waiting = false;
    m_readAt = now + readPeriod;
    if (!result.answered)
        return;
    const auto version = result.rows.empty() ? 0 : result.rows.front().version;
    if (!m_known || version != m_rowVersion) {
        m_rowVersion = version;
        m_unchangedSince = now;
        m_row = result.rows.empty() ? LeaseRow { {}, m_row.fencing, 0 }
                                    : decodeLeaseRow(result.rows.front().value).value_or(m_row);
    }
    m_known = true;
}

void Lease::onWrite(const store::TransactResult& result, TimePoint now)
{
    m_waiting = false;
    if (result.end == TransactEnd::Applied) {
        if (!m_held)
            m_takenAt = now;
        m_held = true;
        m_heldUntil = m_sentAt + m_options.life;
        m_row = m_wanted;
        ++m_rowVersion;
        return;
    }
    if (result.end == TransactEnd::NotApplied)
        return;
    // Lost to another, or unknown: what is there must be read, and watched for a whole life, before the next try.
    m_held = false;
    m_known = false;
    m_readAt = now;
}

std::optional<FencingNumber> Lease::mayOrder(TimePoint now, bool fencingChecked) const
{
    const bool inTime = m_held && now < m_heldUntil - m_options.margin;
    const bool waitedOut = fencingChecked || now >= m_takenAt + m_options.longestOrder;
    if (!inTime || !waitedOut)
        return std::nullopt;
    return m_row.fencing;
}

} // namespace foxtailwheel::control
