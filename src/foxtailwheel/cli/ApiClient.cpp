#include "foxtailwheel/cli/ApiClient.h"

#include "foxtailwheel/base/Clock.h"
#include "foxtailwheel/http/Client.h"

#include <future>

namespace foxtailwheel::cli {

namespace {

    class BlockingClient final : public ApiClient {
    public:
        BlockingClient(config::Endpoint endpoint, std::string bearerToken)
            : m_endpoint(std::move(endpoint))
            , m_bearerToken(std::move(bearerToken))
        {
        }
        ~BlockingClient() override { m_pool->stop(); }
        BlockingClient(const BlockingClient&) = delete;
        BlockingClient& operator=(const BlockingClient&) = delete;

        Result<http::Response> send(
            http::Request request, Duration timeout, std::function<void(std::string_view)> onData) override
        {
            request.headers.push_back({ "Authorization", "Bearer " + m_bearerToken });
            const auto deadline = m_clock->now() + timeout;
            auto promise = std::make_shared<std::promise<http::CallResult>>();
            http::CallCallbacks callbacks;
            callbacks.onData = std::move(onData);
            callbacks.onDone = [promise](http::CallResult result) { promise->set_value(std::move(result)); };
            m_client->start({ m_endpoint, std::move(request), deadline, deadline, false }, std::move(callbacks));
            auto result = promise->get_future().get();
            if (result.outcome == http::TransportOutcome::Complete)
                return std::move(result.response);
            if (result.outcome == http::TransportOutcome::NotSent)
                return fail(Errc::Unreachable, "cannot reach " + m_endpoint.toString());
            return fail(Errc::Ambiguous, "no complete response from " + m_endpoint.toString() + ": " + result.detail);
        }

    private:
        config::Endpoint m_endpoint;
        std::string m_bearerToken;
        std::unique_ptr<Clock> m_clock = systemClock();
        std::unique_ptr<http::IoPool> m_pool = http::IoPool::create(1);
        std::unique_ptr<http::Client> m_client = http::Client::create(*m_pool, *m_clock);
    };

} // namespace

std::unique_ptr<ApiClient> ApiClient::create(config::Endpoint endpoint, std::string bearerToken)
{
    return std::make_unique<BlockingClient>(std::move(endpoint), std::move(bearerToken));
}

} // namespace foxtailwheel::cli
