#pragma once

#include "CallDriver.h"
#include "foxtailwheel/base/Clock.h"
#include "foxtailwheel/http/Server.h"
#include "foxtailwheel/serving/Dispatcher.h"
#include "foxtailwheel/telemetry/Metrics.h"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <unordered_map>

namespace foxtailwheel::daemon {

/// @brief HTTP API of the callers: parses requests, submits them to the dispatcher, and writes replies and token
/// streams.
class CallerApi {
public:
    CallerApi(const Clock& clock, serving::Dispatcher& dispatcher, telemetry::Metrics& metrics, ActionExecutor execute);

    /// @brief Sets the result of the readiness probe of the load balancer.
    void setReady(bool ready) { m_ready = ready; }
    void handle(const http::Request& request, const std::shared_ptr<http::Responder>& responder);
    /// @brief Streams tokens to the caller of their run.
    void emit(const pipeline::EmitTokens& tokens);
    /// @brief Sends the final reply to the caller.
    void reply(const serving::Reply& reply);
    /// @brief Number of requests in progress.
    std::size_t inProgress() const;

private:
    struct Session {
        std::mutex mutex; ///< Held while tokens are written, which keeps them in order.
        std::shared_ptr<http::Responder> responder;
        PipelineId pipeline;
        TimePoint startedAt;
        bool streamStarted = false;
        std::uint64_t nextOffset = 0; ///< Offset of the next token to write.
        std::map<std::uint64_t, pipeline::EmitTokens>
            pendingTokens; ///< By offset; another thread delivered them out of order.
    };

    void handleRun(const http::Request& request, const std::shared_ptr<http::Responder>& responder);
    void startRun(serving::SubmitRequest request, const std::shared_ptr<http::Responder>& responder);
    bool writeTokens(Session& session, const pipeline::EmitTokens& tokens);
    std::shared_ptr<Session> find(RunId run) const;
    void onCallerDisconnected(RunId run);
    void recordMetrics(const serving::Reply& reply, const Session& session);

    const Clock& m_clock;
    serving::Dispatcher& m_dispatcher;
    telemetry::Metrics& m_metrics;
    ActionExecutor m_execute;
    std::atomic<bool> m_ready { false };
    mutable std::mutex m_mutex;
    std::unordered_map<RunId, std::shared_ptr<Session>> m_sessions;
};

} // namespace foxtailwheel::daemon
