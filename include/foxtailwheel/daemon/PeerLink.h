#pragma once

#include "foxtailwheel/base/Clock.h"
#include "foxtailwheel/base/Error.h"
#include "foxtailwheel/control/TableFollower.h"
#include "foxtailwheel/http/IoPool.h"
#include "foxtailwheel/membership/Member.h"
#include "foxtailwheel/serving/PieceBroker.h"

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace foxtailwheel::daemon {

/// @brief What a link tells its owner; all on the pool's one thread.
struct PeerLinkEvents {
    /// @brief The instances that may be given work, this one included, those of them that are strong enough to own
    /// services, and those that are gone.
    std::function<void(
        const std::vector<InstanceId>& live, const std::vector<InstanceId>& owners, const std::set<InstanceId>& gone)>
        members;
    std::function<void(const InstanceId& from, const serving::PieceMessage& message)> pieces;
    std::function<void(const InstanceId& instance)> connectionLost; ///< What it was asked for may be lost with it.
    std::function<void(const control::TableNews& news)> tableNews;
    std::function<void(bool)> pollerChanged; ///< Whether this instance asks the store for its zone.
};

/// @brief This instance among the others: membership by gossip, and messages about pieces.
class PeerLink {
public:
    /// @param self Address that it listens on and its zone; the incarnation is set from the calendar.
    /// @param key Secret that all instances share.
    static Result<std::unique_ptr<PeerLink>> open(http::IoPool& pool, const Clock& clock, membership::Member self,
        std::string key, std::uint64_t seed, PeerLinkEvents events);
    ~PeerLink();
    PeerLink(const PeerLink&) = delete;
    PeerLink& operator=(const PeerLink&) = delete;

    /// @brief Instances that were found elsewhere.
    void introduce(const std::vector<membership::Member>& members);
    /// @brief Sends a message about pieces; dropped where the instance is not known or cannot be reached.
    void tell(const InstanceId& to, const serving::PieceMessage& message);
    /// @brief Passes an answer of the store on to the live instances of this zone.
    void tellZone(const control::TableNews& news);
    /// @brief Tells the others that this instance is leaving.
    void leave();
    /// @brief All instances that are known.
    std::vector<membership::Member> members() const;

private:
    struct Impl;
    explicit PeerLink(std::shared_ptr<Impl> impl);
    std::shared_ptr<Impl> m_impl;
};

} // namespace foxtailwheel::daemon
