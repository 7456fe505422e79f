#include "foxtailwheel/control/ConfigStore.h"

#include "foxtailwheel/base/Hash.h"
#include "foxtailwheel/base/Json.h"

#include <algorithm>

namespace foxtailwheel::control {

namespace {

    using namespace std::chrono_literals;
    using nlohmann::json;
    using store::TransactOutcome;

    constexpr Duration tableTimeout = 2s;

    std::string paddedNumber(std::uint64_t n)
    {
        constexpr std::size_t digits = 14;
        auto text = std::to_string(n);
        return std::string(digits - std::min(digits, text.size()), '0') + text;
    }

    /// A change in progress; kept alive by its own callbacks.
    struct PendingApply {
        ApplyStateMachine machine;
        store::Table& table;
        const Clock& clock;
        TimePoint deadline;
        std::function<void(ApplyResult)> done;
    };

    void runStep(const std::shared_ptr<PendingApply>& pending)
    {
        auto& machine = pending->machine;
        const auto now = pending->clock.now();
        if (now >= pending->deadline)
            machine.abandon();
        if (machine.step() == ApplyStep::Done) {
            pending->done(machine.result());
            return;
        }
        const auto callDeadline = std::min(pending->deadline, now + tableTimeout);
        if (machine.step() == ApplyStep::Transact) {
            pending->table.transact(
                machine.transaction(), callDeadline, [pending](const store::TransactResult& result) {
                    pending->machine.onTransact(result);
                    if (result.outcome == TransactOutcome::NotApplied)
                        pending->machine.abandon();
                    runStep(pending);
                });
            return;
        }
        pending->table.read(machine.readKey(), callDeadline, [pending](const store::ReadResult& result) {
            pending->machine.onRead(result);
            if (!result.succeeded)
                pending->machine.abandon();
            runStep(pending);
        });
    }

} // namespace

std::string configHeadKey()
{
    return "config/head";
}

std::string configTextKey(ConfigVersion version)
{
    return "config/text/" + paddedNumber(version.value());
}

std::string configChangeKey(ConfigVersion version)
{
    return "config/change/" + paddedNumber(version.value());
}

std::string auditKey(WallTime at, const std::string& who)
{
    return "audit/" + paddedNumber(static_cast<std::uint64_t>(at.time_since_epoch().count())) + "-" + who;
}

std::string encodeConfigHead(const ConfigHead& head)
{
    return json {
        { "version", head.version.value() }, { "change", head.id.value() }, { "text_hash", head.textHash }
    }.dump();
}

std::optional<ConfigHead> decodeConfigHead(const std::string& text)
{
    const auto node = parseJson(text);
    ConfigHead head { ConfigVersion(unsignedAt(node, "version")), ChangeId(textAt(node, "change")),
        textAt(node, "text_hash") };
    if (head.version.value() == 0)
        return std::nullopt;
    return head;
}

std::string encodeConfigChange(const ConfigChange& change)
{
    json node {
        { "version", change.version.value() },
        { "change", change.id.value() },
        { "author", change.author },
        { "at_ms", change.at.time_since_epoch().count() },
        { "note", change.note },
        { "summary", change.summary },
        { "text_hash", change.textHash },
    };
    if (change.patch) {
        node["patch"] = { { "from", change.patch->from.value() }, { "head", change.patch->head },
            { "tail", change.patch->tail }, { "middle", change.patch->middle } };
    }
    return node.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<ConfigChange> decodeConfigChange(const std::string& text)
{
    const auto node = parseJson(text);
    if (unsignedAt(node, "version") == 0)
        return std::nullopt;
    ConfigChange change;
    change.version = ConfigVersion(unsignedAt(node, "version"));
    change.id = ChangeId(textAt(node, "change"));
    change.author = textAt(node, "author");
    change.at = WallTime(std::chrono::milliseconds(unsignedAt(node, "at_ms")));
    change.note = textAt(node, "note");
    for (const auto& it : arrayAt(node, "summary"))
        change.summary.push_back(it.is_string() ? it.get<std::string>() : std::string());
    change.textHash = textAt(node, "text_hash");
    if (node.contains("patch")) {
        const auto& patch = node["patch"];
        change.patch = config::Patch { ConfigVersion(unsignedAt(patch, "from")), change.version,
            unsignedAt(patch, "head"), unsignedAt(patch, "tail"), textAt(patch, "middle"), change.textHash };
    }
    return change;
}

ApplyStateMachine::ApplyStateMachine(ConfigChangeRequest request, WallTime now)
    : m_request(std::move(request))
{
    m_change = { m_request.base.next(), m_request.id, m_request.author, now, m_request.note, m_request.summary,
        sha256Hex(m_request.text), std::nullopt };
    if (!m_request.baseText.empty())
        m_change.patch = config::makePatch(m_request.base, m_request.baseText, m_change.version, m_request.text);
    m_result.version = m_request.base;
}

store::Transaction ApplyStateMachine::transaction() const
{
    const bool first = m_request.base.value() == 0;
    store::Transaction transaction;
    // The head is written once per version and never deleted, so the row's version equals the configuration version.
    transaction.conditions.push_back({ configHeadKey(), first ? std::nullopt : std::optional(m_request.base.value()) });
    transaction.conditions.push_back({ configChangeKey(m_change.version), std::nullopt });
    transaction.writes.push_back(
        { configHeadKey(), encodeConfigHead({ m_change.version, m_change.id, m_change.textHash }) });
    transaction.writes.push_back({ configTextKey(m_change.version), m_request.text });
    transaction.writes.push_back({ configChangeKey(m_change.version), encodeConfigChange(m_change) });
    auto auditRecord = m_change;
    auditRecord.patch.reset();
    transaction.writes.push_back({ auditKey(m_change.at, m_change.id.value()), encodeConfigChange(auditRecord) });
    if (m_change.version.value() > retainedTexts)
        transaction.writes.push_back(
            { configTextKey(ConfigVersion(m_change.version.value() - retainedTexts)), std::nullopt });
    return transaction;
}

void ApplyStateMachine::onTransact(const store::TransactResult& result)
{
    if (m_step != ApplyStep::Transact)
        return;
    switch (result.outcome) {
    case TransactOutcome::Applied:
        m_step = ApplyStep::Done;
        m_result = { ApplyStatus::Accepted, m_change.version };
        return;
    case TransactOutcome::Ambiguous:
        m_mayBeApplied = true;
        m_step = ApplyStep::ReadBack;
        return;
    case TransactOutcome::ConditionFailed:
        m_step = ApplyStep::ReadBack;
        m_mayBeApplied = false;
        for (const auto& it : result.conflicts) {
            const auto head = it.key == configHeadKey() ? decodeConfigHead(it.value) : std::nullopt;
            if (head)
                m_result.version = head->version;
        }
        return;
    case TransactOutcome::NotApplied:
        return;
    }
}

void ApplyStateMachine::onRead(const store::ReadResult& result)
{
    if (m_step != ApplyStep::ReadBack || !result.succeeded)
        return;
    const auto found = result.rows.empty() ? std::nullopt : decodeConfigChange(result.rows.front().value);
    if (found) {
        m_step = ApplyStep::Done;
        const bool own = found->id == m_change.id;
        m_result = { own ? ApplyStatus::Accepted : ApplyStatus::Conflict,
            own ? m_change.version : std::max(m_result.version, found->version) };
        return;
    }
    if (m_mayBeApplied) {
        m_step = ApplyStep::Transact;
        return;
    }
    m_step = ApplyStep::Done;
    m_result.status = ApplyStatus::Conflict;
}

void ApplyStateMachine::abandon()
{
    if (m_step == ApplyStep::Done)
        return;
    m_step = ApplyStep::Done;
    m_result.status = m_mayBeApplied ? ApplyStatus::Ambiguous : ApplyStatus::Unavailable;
}

void applyChange(store::Table& table, const Clock& clock, ConfigChangeRequest request, TimePoint deadline,
    std::function<void(ApplyResult)> done)
{
    auto pending = std::make_shared<PendingApply>(PendingApply {
        ApplyStateMachine(std::move(request), clock.wallNow()), table, clock, deadline, std::move(done) });
    runStep(pending);
}

} // namespace foxtailwheel::control
