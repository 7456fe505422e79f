#pragma once

#include "foxtailwheel/base/Ids.h"
#include "foxtailwheel/base/Units.h"
#include "foxtailwheel/serving/Prompt.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace foxtailwheel::serving {

/// @brief Record that a server crashed as it began to answer a request whose prompt has a part.
struct CrashRecord {
    PromptPartId part;
    BackendServerId server;
    std::uint32_t number = 1; ///< Tells the crashes of the same server apart.
    /// By the clock of the instance that recorded it, but `simultaneousWindow` after the crashes of the part that were
    /// known when the call was sent.
    WallTime at {};
    /// All parts of the prompt were recorded. Instances of earlier builds leave out or merge parts with some IDs.
    bool isComplete = true;

    friend bool operator==(const CrashRecord&, const CrashRecord&) = default;
};

/// @brief Change of the crash records that all instances share.
struct CrashRecordUpdate {
    std::vector<CrashRecord> added;
    std::vector<CrashRecord> removed;
};

/// @brief Whether a request may be sent whose prompt has a part that was blocked.
enum class TrialDecision {
    NotNeeded, ///< No part was blocked.
    Admitted, ///< The request is tried.
    Refused, ///< Another request, or another instance, tries the part first.
};

/// @brief Finds the parts of prompts on which servers crash, and blocks requests with them for a time.
///
/// A server that crashes breaks all its calls, but only for a call whose response had just begun does that say much
/// about its prompt. All shared parts of that prompt are recorded as suspects. A response that begins to arrive clears
/// the parts of its prompt. A part with several crashes at different times is blocked, unless another part that was
/// present in all of them may be the cause and is not in the prompt. Once the block has ended, one request is tried by
/// one instance: it blocks the part for longer, or clears it. Crashes that an earlier build recorded, perhaps without
/// the part that caused them, count, but say nothing about which parts were present.
///
/// Ages are counted from when this instance learned of a crash; times of records are only compared with one another, so
/// the clocks of instances need not agree. Not thread-safe.
class CrashingParts {
public:
    /// @brief Number of crashes from which a part is blocked.
    static constexpr std::size_t minCrashes = 3;
    /// @brief Crashes within this time count once: servers that fail together have another cause than one prompt. They
    /// count by themselves if the later call was sent after the earlier crash was known.
    static constexpr Duration simultaneousWindow = std::chrono::milliseconds(300);

    /// @param epoch Time of day at `TimePoint {}`.
    explicit CrashingParts(WallTime epoch = {})
        : m_epoch(epoch)
    {
    }

    /// @brief A call broke after its response had begun, perhaps inside of the head, and before the first event.
    /// @param sentAt Time at which the call was sent.
    CrashRecordUpdate onCrash(
        const std::vector<PromptPart>& prompt, const BackendServerId& server, TimePoint sentAt, TimePoint now);
    /// @brief The first event of a response has arrived.
    CrashRecordUpdate onAnswerBegan(const std::vector<PromptPart>& prompt, TimePoint now);
    /// @brief Replaces the records by those that the instances share. Own changes that are not among them yet persist.
    void setRecords(const std::vector<CrashRecord>& records, TimePoint now);
    /// @brief Returns the time for which requests with this prompt are blocked; empty if they are not.
    std::optional<Duration> blockedFor(const std::vector<PromptPart>& prompt, TimePoint now) const;
    /// @brief Decides on a request that is not blocked; at most one request with a part is tried at a time.
    ///
    /// The live instances take turns, in an order of their own for each part: the first one may have no such request.
    TrialDecision decideTrial(const std::vector<PromptPart>& prompt, TimePoint now);
    void setInstances(const InstanceId& self, const std::vector<InstanceId>& live);

private:
    /// Server and number of a crash.
    using CrashId = std::pair<BackendServerId, std::uint32_t>;
    struct Crash {
        TimePoint learnedAt;
        WallTime at;
        bool isComplete = true;
    };
    using Crashes = std::map<CrashId, Crash>;

    struct OwnChange {
        std::optional<Crash> crash; ///< Empty for a record that was removed.
        TimePoint changedAt;
    };

    std::uint32_t numberOf(const BackendServerId& server, TimePoint now) const;
    WallTime recordedTime(const PromptPartId& part, TimePoint sentAt, TimePoint now) const;
    /// Time of the end of a part's block; empty if it has too few crashes, or they have another suspect.
    std::optional<TimePoint> blockEnd(const PromptPartId& part, const std::vector<PromptPart>& prompt) const;
    TimePoint turnStart(const PromptPartId& part, TimePoint blockEnd) const;
    bool isOnlySuspect(const PromptPartId& part, const std::vector<PromptPart>& prompt) const;
    void remove(const PromptPartId& part, const CrashId& id);
    void removeOwn(const CrashRecord& record, TimePoint now, CrashRecordUpdate& out);
    void removeExpired(TimePoint now, CrashRecordUpdate& out);

    WallTime m_epoch;
    InstanceId m_self;
    std::vector<InstanceId> m_instances; ///< Live ones; empty for this one alone.
    std::map<PromptPartId, TimePoint> m_triedAt; ///< Time of the last trial of this instance.
    std::map<PromptPartId, Crashes> m_crashes;
    std::map<std::pair<PromptPartId, CrashId>, OwnChange> m_ownChanges;
};

} // namespace foxtailwheel::serving
