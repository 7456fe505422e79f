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
    cr_assert_eq(fixture.intake.storedVersion().value(), 7, "the store confirms no credentials of version 12");
    cr_assert(fixture.read(nullptr, 12) == ConfigDecision::Missing);
    cr_assert_eq(fixture.intake.storedVersion().value(), 0);
}

// Credentials that an unreadable configuration had taken away were confirmed against the one before, forever.
Test(ConfigIntake, unreadableConfigurationConfirmsNoCredentials)
{
    Fixture fixture;
    cr_assert(fixture.read("7", 0) == ConfigDecision::Taken);
    cr_assert(fixture.read("unreadable", 7) == ConfigDecision::Unreadable);
    cr_assert_eq(fixture.intake.storedVersion().value(), 0);
    cr_assert(fixture.read("12", 7) == ConfigDecision::Taken);
    cr_assert_eq(fixture.intake.storedVersion().value(), 12);
}

Test(ConfigIntake, configurationOfARestoredStoreIsHeldUntilPeersAreKnown)
{
    Fixture fixture;
    cr_assert(fixture.read("7", 0, restored) == ConfigDecision::Held);
    cr_assert(fixture.intake.onPeerVersion(ConfigVersion(12)));
    cr_assert(fixture.read("7", 0, restored) == ConfigDecision::Held);
    cr_assert(fixture.read("12", 0, restored) == ConfigDecision::Taken);
}
