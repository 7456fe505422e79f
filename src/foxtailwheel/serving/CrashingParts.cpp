#include "foxtailwheel/serving/CrashingParts.h"

#include "foxtailwheel/base/Hash.h"

#include <algorithm>
#include <set>
#include <utility>

namespace foxtailwheel::serving {

namespace {

    using namespace std::chrono_literals;

    /// Calls to the same server that break within this time broke in the same crash. A server needs longer to restart.
    constexpr Duration sameCrashWindow = 1500ms;
    /// Time for which a part is blocked after the last of `minCrashes` crashes; doubles with each further one, since
    /// the part has crashed another server after it was admitted again.
    constexpr Duration initialBlockTime = 60s;
    constexpr Duration maxBlockTime = 10min;
    /// Time after the end of a block until the next instance may try the part, and until the same one may try it again.
    /// Covers the time to the first event of a response and that to share its outcome.
    constexpr Duration trialTurn = 30s;
    /// Age at which a record no longer blocks its part and is removed.
    constexpr Duration recordLifetime = 2 * maxBlockTime;
    /// Time that a change takes at most until all instances see it.
    constexpr Duration shareTimeout = 10s;
    /// Parts beyond this number are not recorded.
    constexpr std::size_t maxSuspects = 1000;

    Duration blockTime(std::size_t crashes)
    {
        auto time = initialBlockTime;
        for (auto n = CrashingParts::minCrashes; n < crashes && time < maxBlockTime; ++n)
            time *= 2;
        return std::min(time, maxBlockTime);
    }

    /// Sorts times and returns how many of them are apart from the one before.
    std::size_t countApart(std::vector<WallTime>& times)
    {
        std::sort(times.begin(), times.end());
        std::size_t n = 0;
        WallTime last {};
        for (const auto& it : times) {
            if (n > 0 && it - last < CrashingParts::simultaneousWindow)
                continue;
            last = it;
            ++n;
        }
        return n;
    }

} // namespace

/// Returns the number under which a crash of a server at this time is recorded.
std::uint32_t CrashingParts::numberOf(const BackendServerId& server, TimePoint now) const
{
    std::uint32_t number = 0;
    TimePoint learnedAt {};
    for (const auto& [part, crashes] : m_crashes) {
        for (const auto& [id, crash] : crashes) {
            if (id.first == server && id.second > number) {
                number = id.second;
                learnedAt = crash.learnedAt;
            }
        }
    }
    return number > 0 && now - learnedAt < sameCrashWindow ? number : number + 1;
}

void CrashingParts::remove(const PromptPartId& part, const CrashId& id)
{
    const auto it = m_crashes.find(part);
    if (it == m_crashes.end())
        return;
    it->second.erase(id);
    if (it->second.empty())
        m_crashes.erase(it);
}

void CrashingParts::removeOwn(const CrashRecord& record, TimePoint now, CrashRecordUpdate& out)
{
    const CrashId id { record.server, record.number };
    remove(record.part, id);
    m_ownChanges[{ record.part, id }] = { std::nullopt, now };
    out.removed.push_back(record);
}

/// Returns the time of a crash for the records of a part. The server had not failed yet when the crashes that were
/// known as the call was sent happened, however little time has passed.
WallTime CrashingParts::recordedTime(const PromptPartId& part, TimePoint sentAt, TimePoint now) const
{
    auto at = std::chrono::floor<std::chrono::milliseconds>(m_epoch + now.time_since_epoch());
    const auto known = m_crashes.find(part);
    if (known == m_crashes.end())
        return at;
    for (const auto& [id, crash] : known->second) {
        if (crash.learnedAt <= sentAt)
            at = std::max(at, crash.at + std::chrono::duration_cast<std::chrono::milliseconds>(simultaneousWindow));
    }
    return at;
}

CrashRecordUpdate CrashingParts::onCrash(
    const std::vector<PromptPart>& prompt, const BackendServerId& server, TimePoint sentAt, TimePoint now)
{
    CrashRecordUpdate update;
    removeExpired(now, update);
    const CrashId id { server, numberOf(server, now) };
    for (const auto& it : sharedParts(prompt)) {
        if (!m_crashes.contains(it.id) && m_crashes.size() >= maxSuspects)
            continue;
        const Crash crash { now, recordedTime(it.id, sentAt, now) };
        if (!m_crashes[it.id].try_emplace(id, crash).second)
            continue;
        m_ownChanges[{ it.id, id }] = { crash, now };
        update.added.push_back({ it.id, id.first, id.second, crash.at });
    }
    return update;
}

CrashRecordUpdate CrashingParts::onAnswerBegan(const std::vector<PromptPart>& prompt, TimePoint now)
{
    CrashRecordUpdate update;
    if (m_crashes.empty())
        return update;
    removeExpired(now, update);
    for (const auto& it : sharedParts(prompt)) {
        const auto known = m_crashes.find(it.id);
        if (known == m_crashes.end())
            continue;
        const auto crashes = known->second;
        for (const auto& [id, crash] : crashes)
            removeOwn({ it.id, id.first, id.second, crash.at, crash.isComplete }, now, update);
    }
    return update;
}

void CrashingParts::removeExpired(TimePoint now, CrashRecordUpdate& out)
{
    std::vector<CrashRecord> expired;
    for (const auto& [part, crashes] : m_crashes) {
        for (const auto& [id, crash] : crashes) {
            if (now - crash.learnedAt > recordLifetime)
                expired.push_back({ part, id.first, id.second, crash.at, crash.isComplete });
        }
    }
    for (const auto& it : expired)
        removeOwn(it, now, out);
}

void CrashingParts::setRecords(const std::vector<CrashRecord>& records, TimePoint now)
{
    auto before = std::exchange(m_crashes, {});
    for (const auto& it : records) {
        const CrashId id { it.server, it.number };
        auto& known = before[it.part];
        const auto crash = known.find(id);
        m_crashes[it.part][id] = { crash == known.end() ? now : crash->second.learnedAt, it.at, it.isComplete };
    }
    std::erase_if(m_ownChanges, [now](const auto& it) { return now - it.second.changedAt > shareTimeout; });
    for (const auto& [key, change] : m_ownChanges) {
        if (change.crash)
            m_crashes[key.first].try_emplace(key.second, *change.crash);
        else
            remove(key.first, key.second);
    }
}

/// Returns false if another part, which the prompt lacks, was present in all crashes of this one that are recorded
/// completely, or if none is.
bool CrashingParts::isOnlySuspect(const PromptPartId& part, const std::vector<PromptPart>& prompt) const
{
    const auto parts = sharedParts(prompt);
    std::vector<CrashId> crashes;
    for (const auto& [id, crash] : m_crashes.at(part)) {
        if (crash.isComplete)
            crashes.push_back(id);
    }
    return !crashes.empty() && std::none_of(m_crashes.begin(), m_crashes.end(), [&](const auto& other) {
        const bool inPrompt
            = std::any_of(parts.begin(), parts.end(), [&other](const PromptPart& it) { return it.id == other.first; });
        return !inPrompt && std::all_of(crashes.begin(), crashes.end(), [&other](const CrashId& it) {
            return other.second.contains(it);
        });
    });
}

std::optional<TimePoint> CrashingParts::blockEnd(const PromptPartId& part, const std::vector<PromptPart>& prompt) const
{
    const auto known = m_crashes.find(part);
    if (known == m_crashes.end())
        return std::nullopt;
    std::vector<WallTime> times;
    auto lastLearnedAt = TimePoint::min();
    for (const auto& [id, crash] : known->second) {
        times.push_back(crash.at);
        lastLearnedAt = std::max(lastLearnedAt, crash.learnedAt);
    }
    const auto n = countApart(times);
    if (n < minCrashes || !isOnlySuspect(part, prompt))
        return std::nullopt;
    return lastLearnedAt + blockTime(n);
}

std::optional<Duration> CrashingParts::blockedFor(const std::vector<PromptPart>& prompt, TimePoint now) const
{
    if (m_crashes.empty())
        return std::nullopt;
    Duration longest {};
    for (const auto& it : sharedParts(prompt)) {
        if (const auto end = blockEnd(it.id, prompt))
            longest = std::max(longest, *end - now);
    }
    return longest > Duration {} ? std::optional(longest) : std::nullopt;
}

void CrashingParts::setInstances(const InstanceId& self, const std::vector<InstanceId>& live)
{
    m_self = self;
    m_instances = live;
}

/// Returns the time from which this instance may try a part.
TimePoint CrashingParts::turnStart(const PromptPartId& part, TimePoint blockEnd) const
{
    const auto key = "crash-trial/" + part.value();
    const auto own = rendezvousWeight(key, m_self.value());
    const auto earlier = std::count_if(m_instances.begin(), m_instances.end(),
        [&](const InstanceId& it) { return it != m_self && rendezvousWeight(key, it.value()) > own; });
    return blockEnd + trialTurn * earlier;
}

TrialDecision CrashingParts::decideTrial(const std::vector<PromptPart>& prompt, TimePoint now)
{
    if (m_crashes.empty()) {
        m_triedAt.clear();
        return TrialDecision::NotNeeded;
    }
    std::set<PromptPartId> parts;
    auto end = TimePoint::min();
    for (const auto& it : sharedParts(prompt)) {
        const auto partEnd = blockEnd(it.id, prompt);
        if (!partEnd)
            continue;
        const auto tried = m_triedAt.find(it.id);
        if (tried != m_triedAt.end() && now - tried->second < trialTurn)
            return TrialDecision::Refused;
        parts.insert(it.id);
        end = std::max(end, *partEnd);
    }
    // Each instance has one turn for a prompt, however many of its parts are suspects.
    if (!parts.empty() && now < turnStart(*parts.begin(), end))
        return TrialDecision::Refused;
    for (const auto& it : parts)
        m_triedAt[it] = now;
    return parts.empty() ? TrialDecision::NotNeeded : TrialDecision::Admitted;
}

} // namespace foxtailwheel::serving
