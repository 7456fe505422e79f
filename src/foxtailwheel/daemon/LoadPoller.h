#pragma once

#include "foxtailwheel/base/Clock.h"
#include "foxtailwheel/http/Client.h"
#include "foxtailwheel/serving/Dispatcher.h"

#include <cstdint>
#include <map>
#include <mutex>

namespace foxtailwheel::daemon {

/// @brief Asks the backend servers that this instance uses for their load and their prefix-cache events.
class LoadPoller {
public:
    LoadPoller(http::Client& client, const Clock& clock, serving::Dispatcher& dispatcher);

    /// @brief Asks every server of this instance's subsets once.
    void poll();

private:
    void askLoad(const ServiceId& service, const config::BackendServer& server);
    void askCacheEvents(const ServiceId& service, const config::BackendServer& server);

    http::Client& m_client;
    const Clock& m_clock;
    serving::Dispatcher& m_dispatcher;
    std::mutex m_mutex;
    std::map<BackendServerId, std::uint64_t> m_lastEvent;
};

} // namespace foxtailwheel::daemon
