#pragma once

#include "foxtailwheel/base/Clock.h"
#include "foxtailwheel/http/Client.h"
#include "foxtailwheel/serving/Dispatcher.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <vector>

namespace foxtailwheel::daemon {

/// @brief Polls the backend servers that this instance uses for their load and their prefix-cache events.
class LoadPoller {
public:
    LoadPoller(http::Client& client, const Clock& clock, serving::Dispatcher& dispatcher);

    /// @brief Polls the servers whose last report is the oldest; called once a second.
    ///
    /// Busy servers report their load in each response, so only idle ones are polled. Their number in a second is
    /// bounded by the control traffic budget of an instance.
    void poll();

private:
    struct Target {
        ServiceId service;
        config::BackendServer server;
        TimePoint updatedAt; ///< Time of the last report or poll.
    };

    std::vector<Target> selectStalest(const serving::ConfigSnapshot& snapshot, bool enginesOnly,
        std::map<BackendServerId, TimePoint>& polledAt, std::size_t maxCount);
    void pollLoad(const ServiceId& service, const config::BackendServer& server);
    void pollCacheEvents(const ServiceId& service, const config::BackendServer& server);

    http::Client& m_client;
    const Clock& m_clock;
    serving::Dispatcher& m_dispatcher;
    std::mutex m_mutex;
    std::map<BackendServerId, std::uint64_t> m_lastEventSequence;
    std::map<BackendServerId, TimePoint> m_loadPolledAt;
    std::map<BackendServerId, TimePoint> m_eventsPolledAt;
};

} // namespace foxtailwheel::daemon
