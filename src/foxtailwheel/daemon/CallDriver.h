#pragma once

#include "foxtailwheel/base/Clock.h"
#include "foxtailwheel/http/Client.h"
#include "foxtailwheel/serving/Dispatcher.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>

namespace foxtailwheel::daemon {

/// @brief Executes the actions that the dispatcher returned.
using ActionExecutor = std::function<void(serving::Actions)>;

/// @brief Sends the dispatcher's calls to backend servers and reports their results to the dispatcher.
class CallDriver {
public:
    /// @param onServerLeaving Called when a response has the header `X-Leaving`: the server will soon accept no more
    /// work.
    CallDriver(http::Client& client, const Clock& clock, serving::Dispatcher& dispatcher, ActionExecutor execute,
        std::function<void(const BackendServerId&)> onServerLeaving);

    void send(serving::SendCall call);
    void cancel(const serving::StopCall& stop);

private:
    struct ActiveCall;

    void onData(const std::shared_ptr<ActiveCall>& call, std::string_view chunk);
    void onHead(const std::shared_ptr<ActiveCall>& call, const http::Response& head);
    void pauseServer(const ActiveCall& call, std::string_view retryAfter);
    void onDone(const std::shared_ptr<ActiveCall>& call, const http::CallResult& result);
    void fail(const std::shared_ptr<ActiveCall>& call, pipeline::CallFailure failure);

    http::Client& m_client;
    const Clock& m_clock;
    serving::Dispatcher& m_dispatcher;
    ActionExecutor m_execute;
    std::function<void(const BackendServerId&)> m_onServerLeaving;
    std::mutex m_mutex;
    std::map<pipeline::AttemptId, std::shared_ptr<ActiveCall>> m_activeCalls;
};

} // namespace foxtailwheel::daemon
