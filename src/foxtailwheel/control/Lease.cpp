#include "foxtailwheel/control/Lease.h"

#include "foxtailwheel/base/Json.h"

namespace foxtailwheel::control {

namespace {

    using namespace std::chrono_literals;
    using store::TransactOutcome;

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
    const auto node = parseJson(text);
    if (unsignedAt(node, "fencing") == 0)
        return std::nullopt;
    return LeaseRow { InstanceId(textAt(node, "holder")), FencingToken(unsignedAt(node, "fencing")),
        unsignedAt(node, "renewals") };
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
    if (m_requestPending)
        return LeaseStep::None;
    if (!m_rowKnown)
        return now >= m_nextReadAt ? LeaseStep::Read : LeaseStep::None;
    if (m_held)
        return now >= m_sentAt + m_options.renewAfter ? LeaseStep::Write : LeaseStep::None;
    const bool available = m_rowVersion == 0 || now >= m_unchangedSince + m_options.lifetime;
    if (available)
        return LeaseStep::Write;
    return now >= m_nextReadAt ? LeaseStep::Read : LeaseStep::None;
}

store::Transaction Lease::beginWrite(TimePoint now)
{
    m_requestPending = true;
    m_sentAt = now;
    m_pendingRow = m_held ? LeaseRow { m_self, m_row.fencing, m_row.renewals + 1 }
                          : LeaseRow { m_self, m_row.fencing.next(), 0 };
    const auto condition = m_rowVersion == 0 ? std::nullopt : std::optional(m_rowVersion);
    return { { { m_key, condition } }, { { m_key, encodeLeaseRow(m_pendingRow) } } };
}

void Lease::onRead(const store::ReadResult& result, TimePoint now)
{
    m_requestPending = false;
    m_nextReadAt = now + readPeriod;
    if (!result.succeeded)
        return;
    const auto version = result.rows.empty() ? 0 : result.rows.front().version;
    if (!m_rowKnown || version != m_rowVersion) {
        m_rowVersion = version;
        m_unchangedSince = now;
        m_row = result.rows.empty() ? LeaseRow { {}, m_row.fencing, 0 }
                                    : decodeLeaseRow(result.rows.front().value).value_or(m_row);
    }
    m_rowKnown = true;
}

void Lease::onWrite(const store::TransactResult& result, TimePoint now)
{
    m_requestPending = false;
    if (result.outcome == TransactOutcome::Applied) {
        if (!m_held)
            m_acquiredAt = now;
        m_held = true;
        m_heldUntil = m_sentAt + m_options.lifetime;
        m_row = m_pendingRow;
        ++m_rowVersion;
        return;
    }
    if (result.outcome == TransactOutcome::NotApplied)
        return;
    // Another instance holds the lease, or the outcome is unknown: the row must be read, and observed unchanged for the
    // full lifetime, before the next attempt.
    m_held = false;
    m_rowKnown = false;
    m_nextReadAt = now;
}

std::optional<FencingToken> Lease::currentFencingToken(TimePoint now, bool fencingChecked) const
{
    const bool inTime = m_held && now < m_heldUntil - m_options.safetyMargin;
    const bool oldOrdersExpired = fencingChecked || now >= m_acquiredAt + m_options.maxOrderDuration;
    if (!inTime || !oldOrdersExpired)
        return std::nullopt;
    return m_row.fencing;
}

} // namespace foxtailwheel::control
