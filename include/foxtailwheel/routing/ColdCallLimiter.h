#pragma once

#include "foxtailwheel/base/Ids.h"
#include "foxtailwheel/base/Units.h"
#include "foxtailwheel/routing/ColdNotices.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

namespace foxtailwheel::routing {

/// @brief Limits of the cold servers of a service.
struct ColdLimits {
    double perSecond = 0; ///< Calls per second that a cold server can handle; 0 for no limit.
    Duration time {}; ///< Time for which a server is cold after its start.

    friend bool operator==(const ColdLimits&, const ColdLimits&) = default;
};

/// @brief Limits the calls of one instance to cold servers, so that those of all instances together stay within what a
/// cold server can handle, without messages between the instances.
///
/// For each cold server, the instances with the highest rendezvous hash are its holders. Each of them sends it at most
/// one call in an interval, and the others send none. There are as many holders as calls per second and send one call
/// each; with fewer instances than that, holders send a whole number of calls per second. Instances with a differing
/// view of the live instances cause at most as many additional holders as there are members that one of them does not
/// know of. Not thread-safe.
class ColdCallLimiter {
public:
    explicit ColdCallLimiter(InstanceId self);

    /// @brief Sets the limits. Servers that are cold already remain so.
    void setLimits(const ColdLimits& limits);
    const ColdLimits& limits() const { return m_limits; }
    /// @brief Sets the live instances. If this one is not among them, it is leaving and takes no share.
    void setLiveInstances(const std::vector<InstanceId>& live, TimePoint now);
    /// @brief Sets until when a server is cold by its entry; replaces what its earlier entry said.
    void setColdByEntry(const BackendServerId& server, TimePoint until, TimePoint now);
    /// @brief A server is cold for `time`, whatever its entry says.
    void markCold(const BackendServerId& server, Duration time, TimePoint now);
    /// @brief A server is cold for the time of the limits.
    void markCold(const BackendServerId& server, TimePoint now) { markCold(server, m_limits.time, now); }
    /// @brief A server may have restarted, since a call to it broke off; it counts as cold for the time of the limits.
    /// Other instances are not told: most calls break off for other reasons.
    void suspectCold(const BackendServerId& server, TimePoint now);

    /// @brief A server is cold at least until `until`, according to another instance.
    void setColdByNotice(const BackendServerId& server, TimePoint until, TimePoint now);
    /// @brief Another instance has said which servers are cold, so a server that it did not name can get calls.
    void onNoticesHeard() { m_hasHeardNotices = true; }
    /// @brief Adds the servers that are cold, except those that are only suspected or that others said to be.
    void addNotices(std::vector<ColdNotice>& out, TimePoint now) const;

    bool isCold(const BackendServerId& server, TimePoint now) const;
    /// @brief Returns true if this instance may send the server a call now.
    bool admits(const BackendServerId& server, TimePoint now) const;
    /// @brief Records that a call of any kind is sent to the server.
    void onCall(const BackendServerId& server, TimePoint now);
    /// @brief Records that a call was withheld from the server.
    /// @return True for the first one since the server was last found cold.
    bool onCallHeld(const BackendServerId& server);

    /// @brief Time after its start within which an instance sends cold servers no call: it does not yet know all
    /// others. Until another instance has said which servers are cold, it sends no server a call.
    static constexpr Duration startTime = std::chrono::seconds(2);
    /// @brief Time for which instances that are no longer alive are remembered. An instance that sees fewer than half
    /// of those that it saw within this time may be cut off, and the others have taken over.
    static constexpr Duration liveMemory = std::chrono::seconds(30);
    /// @brief Time for which a new holder sends nothing, since an earlier holder may have sent a call just before.
    static constexpr Duration handoverTime = std::chrono::seconds(1);

private:
    struct State {
        TimePoint coldByEntry {};
        TimePoint coldByEvent {};
        TimePoint coldByNotice {};
        TimePoint coldBySuspicion {};
        TimePoint lastCallAt {};
        TimePoint notBefore {};
        bool called = false;
        bool isHolder = false;
        bool heldBefore = false;

        TimePoint knownColdUntil() const { return std::max(coldByEntry, coldByEvent); }
        TimePoint coldUntil() const { return std::max({ knownColdUntil(), coldByNotice, coldBySuspicion }); }
    };

    State& stateOf(const BackendServerId& server, TimePoint now);
    std::uint64_t wholeCallsPerSecond() const
    {
        return std::max<std::uint64_t>(1, static_cast<std::uint64_t>(m_limits.perSecond));
    }
    /// Number of holders of a server, and calls per second of each.
    struct Shares {
        std::uint64_t holders = 1;
        std::uint64_t callsEach = 1;
    };
    Shares shares() const;
    Duration interval() const;
    bool isHolder(const BackendServerId& server) const;
    bool mayBeCutOff(TimePoint now) const;
    bool awaitsNotices(TimePoint now) const;
    void noteTime(TimePoint now) { m_startedAt = std::min(m_startedAt, now); }

    InstanceId m_self;
    ColdLimits m_limits;
    std::map<InstanceId, std::uint64_t> m_live; ///< Hashes of the live instances and of this one.
    bool m_isLeaving = false;
    bool m_hasHeardNotices = false;
    std::map<InstanceId, TimePoint> m_lostAt; ///< Time at which instances were last alive that are not any more.
    std::unordered_map<BackendServerId, State> m_servers;
    TimePoint m_startedAt = TimePoint::max(); ///< First time that was passed in.
};

} // namespace foxtailwheel::routing
