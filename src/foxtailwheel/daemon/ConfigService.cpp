#include "ConfigService.h"

#include "foxtailwheel/base/Hash.h"
#include "foxtailwheel/telemetry/Log.h"

namespace foxtailwheel::daemon {

namespace {

    using namespace std::chrono_literals;

    constexpr Duration tableTimeout = 1s;
    constexpr Duration applyTimeout = 8s;
    constexpr std::size_t maxPatches = 32;

} // namespace

ConfigService::ConfigService(store::Table& table, const Clock& clock, serving::Dispatcher& dispatcher,
    FetchFromPeer fetchFromPeer, std::uint64_t seed)
    : m_table(table)
    , m_clock(clock)
    , m_dispatcher(dispatcher)
    , m_fetchFromPeer(std::move(fetchFromPeer))
    , m_follower({}, seed)
{
}

void ConfigService::tick()
{
    control::ConfigFollowerActions actions;
    {
        const std::lock_guard lock(m_mutex);
        m_follower.tick(m_clock.now(), actions);
    }
    execute(actions);
}

void ConfigService::setPoller(bool isPoller)
{
    const std::lock_guard lock(m_mutex);
    m_follower.setPoller(isPoller);
}

void ConfigService::onPeerVersion(const InstanceId& peer, ConfigVersion version)
{
    control::ConfigFollowerActions actions;
    {
        const std::lock_guard lock(m_mutex);
        m_follower.onPeerVersion(peer, version, m_clock.now(), actions);
    }
    execute(actions);
}

ConfigText ConfigService::activeConfig() const
{
    const std::lock_guard lock(m_mutex);
    return m_active;
}

ConfigVersion ConfigService::version() const
{
    const std::lock_guard lock(m_mutex);
    return m_active.version;
}

bool ConfigService::caughtUp() const
{
    const std::lock_guard lock(m_mutex);
    return m_follower.caughtUp();
}

void ConfigService::apply(control::ConfigChangeRequest change, std::function<void(control::ApplyResult)> done)
{
    const auto text = change.text;
    control::applyChange(m_table, m_clock, std::move(change), m_clock.now() + applyTimeout,
        [this, text, done = std::move(done)](const control::ApplyResult& result) {
            // Activated at once, so that peers can fetch it from here even if the table becomes unavailable now.
            if (result.status == control::ApplyStatus::Accepted)
                onText(result.version, text);
            done(result);
        });
}

void ConfigService::execute(const control::ConfigFollowerActions& actions)
{
    for (const auto& it : actions) {
        if (std::holds_alternative<control::ReadHead>(it))
            readHead();
        else if (const auto* fetchAction = std::get_if<control::FetchText>(&it))
            fetch(*fetchAction);
        else
            install(std::get<control::InstallText>(it));
    }
}

void ConfigService::readHead()
{
    m_table.read(control::configHeadKey(), m_clock.now() + tableTimeout, [this](const store::ReadResult& result) {
        const auto head = result.rows.empty() ? std::nullopt : control::decodeConfigHead(result.rows.front().value);
        control::ConfigFollowerActions actions;
        {
            const std::lock_guard lock(m_mutex);
            m_follower.onHead(result.succeeded, head, m_clock.now(), actions);
        }
        execute(actions);
    });
}

void ConfigService::fetch(const control::FetchText& fetch)
{
    const auto version = fetch.version;
    const auto current = this->version();
    if (fetch.peer) {
        m_fetchFromPeer(*fetch.peer, version, current,
            [this, version](const peer::ConfigReply& reply) { onPeerReply(version, reply); });
        return;
    }
    if (current.value() == 0 || current.next() != version) {
        fetchText(version);
        return;
    }
    // One version behind: the change row contains the patch, which is much smaller than the text.
    m_table.read(control::configChangeKey(version), m_clock.now() + tableTimeout,
        [this, version](const store::ReadResult& result) {
            const auto change
                = result.rows.empty() ? std::nullopt : control::decodeConfigChange(result.rows.front().value);
            const auto text = change && change->patch ? applyPatches({ *change->patch }) : std::nullopt;
            if (text)
                onText(version, text);
            else
                fetchText(version);
        });
}

/// Reads a text and the change that it belongs to, whose hash it has to match.
void ConfigService::fetchText(ConfigVersion version)
{
    m_table.read(control::configChangeKey(version), m_clock.now() + tableTimeout,
        [this, version](const store::ReadResult& result) {
            const auto change
                = result.rows.empty() ? std::nullopt : control::decodeConfigChange(result.rows.front().value);
            if (result.succeeded)
                fetchText(version, change ? change->textHash : std::string());
            else
                onText(version, std::nullopt);
        });
}

/// @param hash SHA-256 of the text; empty if it is unknown, because the table no longer has the change.
void ConfigService::fetchText(ConfigVersion version, const std::string& hash)
{
    m_table.read(control::configTextKey(version), m_clock.now() + tableTimeout,
        [this, version, hash](const store::ReadResult& result) {
            auto text = result.rows.empty() ? std::nullopt : std::optional(result.rows.front().value);
            if (text && !hash.empty() && sha256Hex(*text) != hash) {
                telemetry::logError("config_text_damaged", { { "version", std::to_string(version.value()) } });
                text.reset();
            }
            onText(version, text);
        });
}

std::optional<std::string> ConfigService::applyPatches(const std::vector<config::Patch>& patches) const
{
    auto current = activeConfig();
    for (const auto& it : patches) {
        auto next = it.from == current.version ? config::applyPatch(current.text, it)
                                               : Result<std::string>(fail(Errc::Conflict));
        if (!next.has_value())
            return std::nullopt;
        current.text = std::move(next).value();
        current.version = it.to;
    }
    return current.text;
}

void ConfigService::onPeerReply(ConfigVersion version, const peer::ConfigReply& reply)
{
    if (!reply.patches.empty())
        onText(version, applyPatches(reply.patches));
    else if (!reply.text.empty() && sha256Hex(reply.text) == reply.hash)
        onText(version, reply.text);
    else
        onText(version, std::nullopt);
}

peer::ConfigReply ConfigService::makeReply(ConfigVersion requested, ConfigVersion current) const
{
    const std::lock_guard lock(m_mutex);
    peer::ConfigReply reply { requested, {}, {}, {} };
    if (m_active.version != requested)
        return reply;
    auto at = current;
    std::size_t bytes = 0;
    for (const auto& it : m_patches) {
        if (it.from != at)
            continue;
        reply.patches.push_back(it);
        bytes += it.middle.size();
        at = it.to;
    }
    if (current.value() > 0 && at == requested && bytes < m_active.text.size())
        return reply;
    return { requested, m_active.text, m_active.hash, {} };
}

void ConfigService::onText(ConfigVersion version, const std::optional<std::string>& text)
{
    control::ConfigFollowerActions actions;
    {
        const std::lock_guard lock(m_mutex);
        m_follower.onText(version, text, m_clock.now(), actions);
    }
    execute(actions);
}

void ConfigService::install(const control::InstallText& install)
{
    auto parsed = config::parseDeclarations(install.text);
    if (!parsed.valid()) {
        // Only valid texts are accepted, so this one comes from a newer release; the previous one stays active.
        telemetry::logError("config_not_understood",
            { { "version", std::to_string(install.version.value()) },
                { "fault", config::describe(parsed.faults.front()) } });
        return;
    }
    m_dispatcher.configure(
        install.version, std::make_shared<const config::Declarations>(std::move(parsed.declarations)));
    {
        const std::lock_guard lock(m_mutex);
        if (install.version > m_active.version) {
            auto patch = config::makePatch(m_active.version, m_active.text, install.version, install.text);
            if (m_active.version.value() > 0)
                m_patches.push_back(std::move(patch));
            if (m_patches.size() > maxPatches)
                m_patches.pop_front();
            m_active = { install.version, install.text, sha256Hex(install.text) };
        }
    }
    telemetry::logInfo("config_in_force", { { "version", std::to_string(install.version.value()) } });
}

} // namespace foxtailwheel::daemon
