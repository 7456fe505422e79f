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

/// @brief The callers' interface: reads requests, hands them to the dispatcher, and writes answers and streams.
class CallerApi {
public:
    CallerApi(const Clock& clock, serving::Dispatcher& dispatcher, telemetry::Metrics& metrics, Perform perform);

    /// @brief Says whether the balancer should send requests here.
    void setReady(bool ready) { m_ready = ready; }
    void handle(const http::Request& request, const std::shared_ptr<http::Responder>& responder);
    /// @brief Hands tokens to the caller of their run.
    void emit(const pipeline::EmitTokens& tokens);
    /// @brief Ends the caller's request.
    void reply(const serving::Reply& reply);
    /// @brief Callers whose requests are in progress.
    std::size_t inProgress() const;

private:
    struct Session {
        std::mutex mutex; ///< Held while tokens are written, so that they keep their order.
        std::shared_ptr<http::Responder> responder;
        PipelineId pipeline;
        TimePoint since;
        bool started = false;
        std::uint64_t nextOffset = 0; ///< Of the next token to write.
        std::map<std::uint64_t, pipeline::EmitTokens> early; ///< Tokens that another thread overtook with.
    };

    void run(const http::Request& request, const std::shared_ptr<http::Responder>& responder);
    void begin(serving::SubmitRequest request, const std::shared_ptr<http::Responder>& responder);
    bool write(Session& session, const pipeline::EmitTokens& tokens);
    std::shared_ptr<Session> find(RunId run) const;
    void callerGone(RunId run);
    void count(const serving::Reply& reply, const Session& session);

    const Clock& m_clock;
    serving::Dispatcher& m_dispatcher;
    telemetry::Metrics& m_metrics;
    Perform m_perform;
    std::atomic<bool> m_ready { false };
    mutable std::mutex m_mutex;
    std::unordered_map<RunId, std::shared_ptr<Session>> m_sessions;
};

} // namespace foxtailwheel::daemon
