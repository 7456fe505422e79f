#include "ConfigService.h"

#include "foxtailwheel/base/Hash.h"
#include "foxtailwheel/telemetry/Log.h"

namespace foxtailwheel::daemon {

namespace {

    using namespace std::chrono_literals;

    constexpr Duration tableTimeout = 1s;
    constexpr Duration applyTimeout = 8s;

} // namespace

ConfigService::ConfigService(platform::Table& table, const Clock& clock, serving::Dispatcher& dispatcher,
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
    control::FollowActions actions;
    {
        const std::lock_guard lock(m_mutex);
        m_follower.tick(m_clock.now(), actions);
    }
    perform(actions);
}

void ConfigService::setPoller(bool isPoller)
{
    const std::lock_guard lock(m_mutex);
    m_follower.setPoller(isPoller);
}

void ConfigService::onAnnounced(const InstanceId& peer, ConfigVersion version)
{
    control::FollowActions actions;
    {
        const std::lock_guard lock(m_mutex);
        m_follower.onAnnounced(peer, version, m_clock.now(), actions);
    }
    perform(actions);
}

ConfigText ConfigService::inForce() const
{
    const std::lock_guard lock(m_mutex);
    return m_inForce;
}

bool ConfigService::caughtUp() const
{
    const std::lock_guard lock(m_mutex);
    return m_follower.caughtUp();
}

void ConfigService::apply(control::WantedChange wanted, std::function<void(control::ApplyResult)> done)
{
    const auto text = wanted.text;
    control::applyChange(m_table, m_clock, std::move(wanted), m_clock.now() + applyTimeout,
        [this, text, done = std::move(done)](const control::ApplyResult& result) {
            // Put in force here at once, so that it spreads from here even if the table is lost right now.
            if (result.end == control::ApplyEnd::Accepted)
                onText(result.version, text);
            done(result);
        });
}

void ConfigService::perform(const control::FollowActions& actions)
{
    for (const auto& it : actions) {
        if (std::holds_alternative<control::ReadHead>(it))
            readHead();
        else if (const auto* wanted = std::get_if<control::FetchText>(&it))
            fetch(*wanted);
        else
            install(std::get<control::InstallText>(it));
    }
}

void ConfigService::readHead()
{
    m_table.read(control::configHeadKey(), m_clock.now() + tableTimeout, [this](const platform::ReadResult& result) {
        const auto head = result.rows.empty() ? std::nullopt : control::decodeConfigHead(result.rows.front().value);
        control::FollowActions actions;
        {
            const std::lock_guard lock(m_mutex);
            m_follower.onHead(result.answered, head, m_clock.now(), actions);
        }
        perform(actions);
    });
}

void ConfigService::fetch(const control::FetchText& fetch)
{
    const auto version = fetch.version;
    if (fetch.peer) {
        m_fetchFromPeer(
            *fetch.peer, version, [this, version](const std::optional<std::string>& text) { onText(version, text); });
        return;
    }
    m_table.read(control::configTextKey(version), m_clock.now() + tableTimeout,
        [this, version](const platform::ReadResult& result) {
            onText(version, result.rows.empty() ? std::nullopt : std::optional(result.rows.front().value));
        });
}

void ConfigService::onText(ConfigVersion version, const std::optional<std::string>& text)
{
    control::FollowActions actions;
    {
        const std::lock_guard lock(m_mutex);
        m_follower.onText(version, text, m_clock.now(), actions);
    }
    perform(actions);
}

void ConfigService::install(const control::InstallText& install)
{
    auto parsed = config::parseDeclarations(install.text);
    if (!parsed.valid()) {
        // Only checked texts are accepted, so this is a text of a newer program; the old one stays in force.
        telemetry::logError("config_not_understood",
            { { "version", std::to_string(install.version.value()) },
                { "fault", config::describe(parsed.faults.front()) } });
        return;
    }
    m_dispatcher.configure(
        install.version, std::make_shared<const config::Declarations>(std::move(parsed.declarations)));
    {
        const std::lock_guard lock(m_mutex);
        if (install.version > m_inForce.version)
            m_inForce = { install.version, install.text, sha256Hex(install.text) };
    }
    telemetry::logInfo("config_in_force", { { "version", std::to_string(install.version.value()) } });
}

} // namespace foxtailwheel::daemon
