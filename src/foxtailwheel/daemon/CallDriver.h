#pragma once

#include "foxtailwheel/base/Clock.h"
#include "foxtailwheel/http/Client.h"
#include "foxtailwheel/serving/Dispatcher.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>

namespace foxtailwheel::daemon {

/// @brief Carries out actions.
using Perform = std::function<void(serving::Actions)>;

/// @brief Makes the calls to backend servers that the dispatcher asks for, and reports back.
class CallDriver {
public:
    /// @param serverLeaving Told when a server says by the header `X-Leaving` that it takes no more work soon.
    CallDriver(http::Client& client, const Clock& clock, serving::Dispatcher& dispatcher, Perform perform,
        std::function<void(const BackendServerId&)> serverLeaving);

    void send(serving::SendCall call);
    void stop(const serving::StopCall& stop);

private:
    struct Open;

    void onData(const std::shared_ptr<Open>& open, std::string_view chunk);
    void onHead(const std::shared_ptr<Open>& open, const http::Response& head);
    void onDone(const std::shared_ptr<Open>& open, const http::CallResult& result);
    void fail(const std::shared_ptr<Open>& open, pipeline::CallFailure failure);

    http::Client& m_client;
    const Clock& m_clock;
    serving::Dispatcher& m_dispatcher;
    Perform m_perform;
    std::function<void(const BackendServerId&)> m_serverLeaving;
    std::mutex m_mutex;
    std::map<pipeline::AttemptId, std::shared_ptr<Open>> m_open;
};

} // namespace foxtailwheel::daemon
