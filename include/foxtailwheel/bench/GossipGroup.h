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

/// @brief Several `Membership` libraries with a small queue of messages between them, at injected time.
class GossipGroup {
public:
    /// @param loss Share of the messages that are lost.
    GossipGroup(std::size_t count, double loss, std::uint64_t seed);

    /// @brief Starts an instance; one that takes an old index replaces it with a higher incarnation.
    void start(std::size_t index);
    /// @brief Ends an instance without a word.
    void kill(std::size_t index) { m_members.erase(index); }
    /// @brief Holds an instance up: it neither reads nor acts.
    void pause(std::size_t index) { m_paused.insert(index); }
    void resume(std::size_t index) { m_paused.erase(index); }
    /// @brief Messages between the two sides are lost from now on; an empty side heals the cut.
    void cut(std::set<std::size_t> side) { m_side = std::move(side); }
    void leave(std::size_t index);
    void setConfig(std::size_t index, ConfigVersion version);
    void noticeLeaving(std::size_t index, const BackendServerId& server);
    /// @brief Lets time pass in steps of 50 ms.
    void run(Duration length);

    membership::Membership& at(std::size_t index) { return *m_members.at(index); }
    /// @brief True where every running instance knows exactly the running ones as working.
    bool agreed() const;
    /// @brief Lowest version in force that any running instance knows of the others.
    ConfigVersion lowestKnownConfig() const;
    std::uint64_t messages() const { return m_messages; }
    /// @brief Bytes of the messages as peers encode them; counted while `countBytes` is on.
    std::uint64_t bytes() const { return m_bytes; }
    void countBytes(bool on) { m_countsBytes = on; }
    /// @brief True where every running instance knows that the server leaves.
    bool allKnowLeaving(const BackendServerId& server) const;
    std::size_t running() const { return m_members.size(); }

private:
    struct Letter {
        TimePoint due;
        std::size_t from = 0;
        std::size_t to = 0;
        std::variant<membership::Ping, membership::Ack> message;
    };

    void post(std::size_t from, const membership::MembershipActions& actions);
    void deliver();

    ManualClock m_clock;
    Random m_random;
    double m_loss;
    std::map<std::size_t, std::unique_ptr<membership::Membership>> m_members;
    std::set<std::size_t> m_paused;
    std::set<std::size_t> m_side;
    std::deque<Letter> m_letters;
    std::uint64_t m_messages = 0;
    std::uint64_t m_bytes = 0;
    bool m_countsBytes = false;
};

} // namespace foxtailwheel::bench
