#pragma once

#include "foxtailwheel/base/Clock.h"
#include "foxtailwheel/base/Random.h"
#include "foxtailwheel/membership/Membership.h"

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <vector>

namespace foxtailwheel::bench {

/// @brief Simulates a gossip group: several `Membership` objects that exchange messages over a lossy network, on a
/// manual clock.
class GossipGroup {
public:
    /// @param lossProbability Probability that a message is lost.
    GossipGroup(
        std::size_t count, double lossProbability, std::uint64_t seed, membership::MembershipOptions options = {});

    /// @brief Starts an instance; an instance with the same index is replaced by one with a higher incarnation.
    void start(std::size_t index);
    /// @brief Removes an instance without announcing its departure, as a crash does.
    void kill(std::size_t index) { m_members.erase(index); }
    /// @brief Suspends an instance: it neither receives messages nor runs its timers until `resume()`.
    void pause(std::size_t index) { m_paused.insert(index); }
    void resume(std::size_t index) { m_paused.erase(index); }
    /// @brief Starts a network partition: messages between `side` and the other instances are lost. An empty `side`
    /// ends the partition.
    void partition(std::set<std::size_t> side) { m_partition = std::move(side); }
    void leave(std::size_t index);
    void setConfigVersion(std::size_t index, ConfigVersion version);
    void announceLeaving(std::size_t index, const BackendServerId& server);
    /// @brief Advances the clock by `duration` in steps of 50 ms, delivering due messages.
    void run(Duration duration);

    membership::Membership& at(std::size_t index) { return *m_members.at(index); }
    /// @brief Returns true if the number of members that each running instance considers active equals the number of
    /// running instances.
    bool hasConverged() const;
    /// @brief Returns the lowest configuration version that any running instance has recorded for an active member.
    ConfigVersion lowestKnownConfigVersion() const;
    std::uint64_t sentMessages() const { return m_sentMessages; }
    /// @brief Returns the encoded size of the sent messages in bytes; counts only while enabled by `setByteCounting()`.
    std::uint64_t sentBytes() const { return m_sentBytes; }
    void setByteCounting(bool on) { m_countBytes = on; }
    /// @brief From now on, each instance passes on the load reports that it knows.
    void shareLoads();
    /// @brief Returns the load reports that an instance knows; `shareLoads` must have been called.
    routing::LoadExchange& loadsOf(std::size_t index) { return m_loads.at(index); }
    TimePoint now() const { return m_clock.now(); }
    /// @brief Returns true if every running instance knows that the server is leaving.
    bool allKnowLeaving(const BackendServerId& server) const;
    std::size_t runningCount() const { return m_members.size(); }

private:
    void takeLoads(std::size_t to, const membership::Digest& digest);
    void attachLoads(std::size_t from, std::variant<membership::Ping, membership::Ack>& message);

    std::map<std::size_t, routing::LoadExchange> m_loads; ///< Empty unless loads are shared.
    struct QueuedMessage {
        TimePoint due;
        std::size_t from = 0;
        std::size_t to = 0;
        std::variant<membership::Ping, membership::Ack> message;
    };

    void enqueueMessages(std::size_t from, const membership::MembershipActions& actions);
    void deliverDue();

    ManualClock m_clock;
    Random m_random;
    double m_lossProbability;
    membership::MembershipOptions m_options;
    std::map<std::size_t, std::unique_ptr<membership::Membership>> m_members;
    std::set<std::size_t> m_paused;
    std::set<std::size_t> m_partition;
    std::deque<QueuedMessage> m_queue;
    std::uint64_t m_sentMessages = 0;
    std::uint64_t m_sentBytes = 0;
    bool m_countBytes = false;
};

} // namespace foxtailwheel::bench
