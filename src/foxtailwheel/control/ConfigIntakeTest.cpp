#include "foxtailwheel/control/ConfigIntake.h"

#include <criterion/criterion.h>

using namespace foxtailwheel;
using namespace std::chrono_literals;
using control::ConfigDecision;
using control::ConfigIntake;

namespace {

constexpr TimePoint start { 1h };
constexpr store::StoreEpoch intact { 1 };
constexpr store::StoreEpoch restored { 2 };

/// Reads a text that is only a version.
Result<std::shared_ptr<const config::RouteTable>> decodeVersion(const std::string& text)
{
    if (text.find_first_not_of("0123456789") != std::string::npos)
        return fail(Errc::ParseFailed, "not a version");
    auto table = std::make_shared<config::RouteTable>();
    table->version = std::stoull(text);
    return std::shared_ptr<const config::RouteTable>(std::move(table));
}

struct Fixture {
    ConfigDecision read(const char* text, std::uint64_t active, store::StoreEpoch epoch = intact)
    {
        const std::string row = text == nullptr ? "" : text;
        return intake.read(text == nullptr ? nullptr : &row, epoch, ConfigVersion(active), start).decision;
    }

    ConfigIntake intake { decodeVersion, start };
};

} // namespace

Test(ConfigIntake, newerConfigurationIsTakenAndOlderOneIsNot)
{
    Fixture fixture;
    cr_assert(fixture.read("7", 0) == ConfigDecision::Taken);
    cr_assert(fixture.read("12", 7) == ConfigDecision::Taken);
    cr_assert(fixture.read("7", 12) == ConfigDecision::Outdated);
    cr_assert(!fixture.intake.confirms(ConfigVersion(12), start));
    cr_assert(!fixture.intake.confirms(ConfigVersion(12), start + 1h));
    cr_assert(fixture.read(nullptr, 12) == ConfigDecision::Missing);
    cr_assert_eq(fixture.intake.storedVersion().value(), 0);
}

// Credentials that an unreadable configuration had taken away were confirmed against the one before, forever.
Test(ConfigIntake, unreadableConfigurationConfirmsNoCredentials)
{
    Fixture fixture;
    cr_assert(fixture.read("7", 0) == ConfigDecision::Taken);
    cr_assert(fixture.read("unreadable", 7) == ConfigDecision::Unreadable);
    cr_assert(!fixture.intake.confirms(ConfigVersion(7), start));
    cr_assert(fixture.read("12", 7) == ConfigDecision::Taken);
    cr_assert(fixture.intake.confirms(ConfigVersion(12), start));
}

Test(ConfigIntake, configurationOfARestoredStoreIsHeldUntilPeersAreKnown)
{
    Fixture fixture;
    cr_assert(fixture.read("7", 0, restored) == ConfigDecision::Held);
    cr_assert(fixture.intake.onPeerVersion(ConfigVersion(12), start));
    cr_assert(fixture.read("7", 0, restored) == ConfigDecision::Held);
    cr_assert(fixture.read("12", 0, restored) == ConfigDecision::Taken);
}

// Once the instances that knew a lost configuration had ended, those that had started since waited for it for ever.
Test(ConfigIntake, configurationThatNobodyHasAnyMoreIsNotWaitedFor)
{
    Fixture fixture;
    cr_assert(fixture.intake.onPeerVersion(ConfigVersion(12), start));
    cr_assert(fixture.read("7", 0, restored) == ConfigDecision::Held);
    cr_assert(fixture.intake.needsFromPeer(ConfigVersion(12), ConfigVersion()));
    const std::string row = "7";
    const auto later = start + control::RestoredConfigGuard::peerVersionLifetime;
    cr_assert(fixture.intake.read(&row, restored, ConfigVersion(), later).decision == ConfigDecision::Taken);
}

// Instances with a configuration that the store had lost refused all credentials until the operators wrote again.
Test(ConfigIntake, olderCopyConfirmsTheNewestConfigurationThatIsKnown)
{
    Fixture fixture;
    const auto later = start + control::RestoredConfigGuard::maxWait;
    cr_assert(fixture.read("12", 7) == ConfigDecision::Taken);
    cr_assert(fixture.read("7", 12, restored) == ConfigDecision::Outdated);
    cr_assert(!fixture.intake.confirms(ConfigVersion(12), start), "others may know a newer one");
    cr_assert(fixture.intake.confirms(ConfigVersion(12), later));
    cr_assert(fixture.intake.onPeerVersion(ConfigVersion(13), later));
    cr_assert(!fixture.intake.confirms(ConfigVersion(12), later), "another instance knows a newer one");
    cr_assert(fixture.intake.readFromPeer("13", ConfigVersion(12)).decision == ConfigDecision::Taken);
    cr_assert(fixture.intake.confirms(ConfigVersion(13), later));
    cr_assert(fixture.read("8", 13, restored) == ConfigDecision::Outdated);
    cr_assert(!fixture.intake.confirms(ConfigVersion(13), later), "the operators have written since");
}

Test(ConfigIntake, configurationOfAPeerNeverReplacesANewerOne)
{
    Fixture fixture;
    cr_assert(fixture.read("12", 0) == ConfigDecision::Taken);
    cr_assert(fixture.intake.readFromPeer("12", ConfigVersion(12)).decision == ConfigDecision::Outdated);
    cr_assert(fixture.intake.readFromPeer("no version", ConfigVersion(12)).decision == ConfigDecision::Unreadable);
    cr_assert(!fixture.intake.needsFromPeer(ConfigVersion(13), ConfigVersion(12)), "the store has lost nothing");
}
