#pragma once

#include "foxtailwheel/base/Clock.h"
#include "foxtailwheel/http/Client.h"
#include "foxtailwheel/serving/Dispatcher.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <vector>

namespace foxtailwheel::daemon {

/// @brief Asks the backend servers that this instance uses for their load and their prefix-cache events.
class LoadPoller {
public:
    LoadPoller(http::Client& client, const Clock& clock, serving::Dispatcher& dispatcher);

    /// @brief Asks the servers that were not heard of for the longest; called once a second.
    ///
    /// Busy servers tell their load with each response, so only idle ones are asked, and no more of them in a second
    /// than the control budget of an instance allows.
    void poll();

private:
    struct Target {
        ServiceId service;
        config::BackendServer server;
        TimePoint heardAt;
    };

    std::vector<Target> stalest(const serving::Catalog& catalog, bool enginesOnly,
        std::map<BackendServerId, TimePoint>& asked, std::size_t most);
    void askLoad(const ServiceId& service, const config::BackendServer& server);
    void askCacheEvents(const ServiceId& service, const config::BackendServer& server);

    http::Client& m_client;
    const Clock& m_clock;
    serving::Dispatcher& m_dispatcher;
    std::mutex m_mutex;
    std::map<BackendServerId, std::uint64_t> m_lastEvent;
    std::map<BackendServerId, TimePoint> m_loadAskedAt;
    std::map<BackendServerId, TimePoint> m_eventsAskedAt;
};

} // namespace foxtailwheel::daemon
