#include "foxtailwheel/serving/CrashingParts.h"

#include <algorithm>
#include <criterion/criterion.h>

using namespace foxtailwheel;
using namespace std::chrono_literals;
using namespace foxtailwheel::serving;

namespace {

constexpr TimePoint start { 1h };
constexpr TimePoint sentAt = start - 1min; ///< Of calls that were in progress before any crash.
const PromptPartId common = makePromptPartId("1");
const PromptPartId deadly = makePromptPartId("9c41d07be2a35f689c41d07be2a35f68");

/// A prompt with these shared parts and a last part of its own.
std::vector<PromptPart> promptOf(const std::vector<PromptPartId>& shared)
{
    static std::uint64_t last = 10000;
    std::vector<PromptPart> prompt;
    for (const auto& it : shared)
        prompt.push_back({ it, 100 });
    prompt.push_back({ promptPartIdOf(++last), 10 });
    return prompt;
}

BackendServerId server(int n)
{
    return BackendServerId("s" + std::to_string(n));
}

/// Applies an update to the records that all instances share.
void applyUpdate(const CrashRecordUpdate& update, std::vector<CrashRecord>& records)
{
    for (const auto& it : update.removed)
        std::erase(records, it);
    for (const auto& it : update.added) {
        if (std::find(records.begin(), records.end(), it) == records.end())
            records.push_back(it);
    }
}

} // namespace

Test(CrashingParts, crashesSeenByDifferentInstancesBlockThePartOnAll)
{
    std::vector<CrashingParts> instances(4);
    std::vector<CrashRecord> records;
    for (int i = 0; i < 3; ++i) {
        const auto now = start + i * 700ms;
        applyUpdate(instances[i].onCrash(promptOf({ common, deadly }), server(i), sentAt, now), records);
        for (auto& it : instances)
            it.setRecords(records, now + 100ms);
    }
    for (const auto& it : instances) {
        cr_assert(it.blockedFor(promptOf({ common, deadly }), start + 2s));
        cr_assert(!it.blockedFor(promptOf({ common }), start + 2s), "the other part may be the cause");
    }
}

Test(CrashingParts, restartedInstanceBlocksWhatTheOthersBlock)
{
    CrashingParts running;
    std::vector<CrashRecord> records;
    for (int i = 0; i < 3; ++i)
        applyUpdate(running.onCrash(promptOf({ common, deadly }), server(i), sentAt, start + i * 1s), records);
    CrashingParts restarted;
    restarted.setRecords(records, start + 5s);
    cr_assert(restarted.blockedFor(promptOf({ common, deadly }), start + 5s));
}

Test(CrashingParts, answerThatBeginsClearsItsParts)
{
    CrashingParts parts;
    for (int i = 0; i < 3; ++i)
        parts.onCrash(promptOf({ common }), server(i), sentAt, start + i * 1s);
    cr_assert(parts.blockedFor(promptOf({ common }), start + 3s));
    const auto update = parts.onAnswerBegan(promptOf({ common }), start + 3s);
    cr_assert_eq(update.removed.size(), 3);
    cr_assert(!parts.blockedFor(promptOf({ common }), start + 3s));
    parts.setRecords(update.removed, start + 4s);
    cr_assert(!parts.blockedFor(promptOf({ common }), start + 4s), "records that were read before the removal");
}

Test(CrashingParts, serversThatFailTogetherBlockNoPart)
{
    CrashingParts parts;
    for (int i = 0; i < 6; ++i)
        parts.onCrash(promptOf({ common }), server(i), sentAt, start + i * 40ms);
    cr_assert(!parts.blockedFor(promptOf({ common }), start + 1s));
}

// A part that crashed all servers one after the other, each within 300 ms, was not blocked when they were back.
Test(CrashingParts, crashesOfCallsThatWereSentOneAfterTheOtherCount)
{
    CrashingParts parts;
    for (int i = 0; i < 3; ++i)
        parts.onCrash(promptOf({ common }), server(i), start + i * 100ms, start + (i + 1) * 100ms);
    cr_assert(parts.blockedFor(promptOf({ common }), start + 1s));
}

Test(CrashingParts, callsThatBreakInTheSameCrashCountOnce)
{
    CrashingParts parts;
    for (int i = 0; i < 5; ++i)
        parts.onCrash(promptOf({ common }), server(1), sentAt, start + i * 320ms);
    cr_assert(!parts.blockedFor(promptOf({ common }), start + 2s));
}

Test(CrashingParts, blockedPartIsAdmittedAgainAndThenBlockedForLonger)
{
    CrashingParts parts;
    for (int i = 0; i < 3; ++i)
        parts.onCrash(promptOf({ deadly }), server(i), sentAt, start + i * 1s);
    const auto first = parts.blockedFor(promptOf({ deadly }), start + 2s);
    cr_assert(first);
    const auto retryAt = start + 2s + *first;
    cr_assert(!parts.blockedFor(promptOf({ deadly }), retryAt));
    parts.onCrash(promptOf({ deadly }), server(4), sentAt, retryAt);
    const auto second = parts.blockedFor(promptOf({ deadly }), retryAt);
    cr_assert(second && *second > *first);
}

// At the end of a block, all instances sent all requests with the part until the next crash was known.
Test(CrashingParts, oneRequestOfOneInstanceIsTriedWhenABlockEnds)
{
    const std::vector<InstanceId> live { InstanceId("a"), InstanceId("b"), InstanceId("c") };
    std::vector<CrashingParts> instances(live.size());
    const auto prompt = promptOf({ common, deadly });
    for (std::size_t i = 0; i < live.size(); ++i) {
        instances[i].setInstances(live[i], live);
        for (int n = 0; n < 3; ++n)
            instances[i].onCrash(prompt, server(n), sentAt, start + n * 1s);
    }
    const auto end = start + 2s + *instances[0].blockedFor(prompt, start + 2s);
    const auto countTrials = [&](TimePoint now) {
        int n = 0;
        for (int request = 0; request < 5; ++request) {
            for (auto& it : instances)
                n += it.decideTrial(prompt, now) == TrialDecision::Admitted ? 1 : 0;
        }
        return n;
    };
    cr_assert_eq(countTrials(end - 1s), 0);
    cr_assert_eq(countTrials(end), 1);
    cr_assert_eq(countTrials(end + 1s), 0, "the first one is in progress");
    cr_assert_eq(instances[0].decideTrial(promptOf({ common }), end), TrialDecision::NotNeeded);
    for (auto& it : instances)
        it.onAnswerBegan(prompt, end + 2s);
    for (auto& it : instances)
        cr_assert_eq(it.decideTrial(prompt, end + 2s), TrialDecision::NotNeeded, "the part is sound again");
}

// The first instance in the order of a part may get no request with it.
Test(CrashingParts, otherInstancesTryLater)
{
    const std::vector<InstanceId> live { InstanceId("a"), InstanceId("b") };
    int admitted = 0;
    for (const auto& self : live) {
        CrashingParts parts;
        parts.setInstances(self, live);
        for (int n = 0; n < 3; ++n)
            parts.onCrash(promptOf({ deadly }), server(n), sentAt, start + n * 1s);
        const auto end = start + 2s + *parts.blockedFor(promptOf({ deadly }), start + 2s);
        admitted += parts.decideTrial(promptOf({ deadly }), end + 1s) == TrialDecision::Admitted ? 1 : 0;
        admitted += parts.decideTrial(promptOf({ deadly }), end + 40s) == TrialDecision::Admitted ? 1 : 0;
    }
    cr_assert_eq(admitted, 3, "one tries at once and again, the other one later");
}

Test(CrashingParts, oldRecordsAreRemoved)
{
    CrashingParts parts;
    parts.onCrash(promptOf({ deadly }), server(1), sentAt, start);
    const auto update = parts.onAnswerBegan(promptOf({ common }), start + 1h);
    cr_assert_eq(update.removed.size(), 1);
    cr_assert_eq(update.removed[0].part, deadly);
}

// Two parts whose texts are the same number shared their crash records.
Test(CrashingParts, partsThatDifferInLeadingZerosOrCaseAreDifferent)
{
    CrashingParts parts;
    for (int i = 0; i < 3; ++i)
        parts.onCrash(promptOf({ makePromptPartId("0AB1") }), server(i), sentAt, start + i * 1s);
    cr_assert(parts.blockedFor(promptOf({ makePromptPartId("0AB1") }), start + 3s));
    for (const auto* it : { "AB1", "0ab1", "ab1", "00AB1" })
        cr_assert(!parts.blockedFor(promptOf({ makePromptPartId(it) }), start + 3s), "%s", it);
    cr_assert(parts.onAnswerBegan(promptOf({ makePromptPartId("ab1") }), start + 3s).removed.empty());
}

// An instance of an earlier build records a crash without the part that caused it, which left sound parts as suspects.
Test(CrashingParts, recordsOfEarlierBuildsDoNotBlockSoundParts)
{
    CrashingParts parts;
    std::vector<CrashRecord> records;
    for (std::uint32_t i = 1; i <= 4; ++i)
        records.push_back({ common, server(1), i, WallTime(i * 1s), false });
    parts.setRecords(records, start);
    cr_assert(!parts.blockedFor(promptOf({ common }), start));
    parts.onCrash(promptOf({ common, deadly }), server(2), sentAt, start + 5s);
    cr_assert(!parts.blockedFor(promptOf({ common }), start + 5s), "the other part may be the cause");
    for (int i = 0; i < 2; ++i)
        parts.onCrash(promptOf({ common, deadly }), server(3), sentAt, start + 10s + i * 5s);
    cr_assert(parts.blockedFor(promptOf({ common, deadly }), start + 15s));
    cr_assert(!parts.blockedFor(promptOf({ common }), start + 15s));
}

// Records of a part that both builds read count together, as soon as one of them is complete.
Test(CrashingParts, recordsOfEarlierBuildsCount)
{
    CrashingParts parts;
    parts.setRecords(
        { { common, server(1), 1, WallTime(1s), false }, { common, server(2), 1, WallTime(2s), false } }, start);
    parts.onCrash(promptOf({ common }), server(3), sentAt, start + 3s);
    cr_assert(parts.blockedFor(promptOf({ common }), start + 3s));
}
