#include "foxtailwheel/cli/ApiClient.h"

#include "foxtailwheel/base/Clock.h"
#include "foxtailwheel/http/Client.h"

#include <future>

namespace foxtailwheel::cli {

namespace {

    class BlockingClient final : public ApiClient {
    public:
        BlockingClient(config::Endpoint server, std::string bearer)
            : m_server(std::move(server))
            , m_bearer(std::move(bearer))
        {
        }
        ~BlockingClient() override { m_pool->stop(); }
        BlockingClient(const BlockingClient&) = delete;
        BlockingClient& operator=(const BlockingClient&) = delete;

        Result<http::Response> send(
            http::Request request, Duration timeout, std::function<void(std::string_view)> onData) override
        {
            request.headers.push_back({ "Authorization", "Bearer " + m_bearer });
            const auto until = m_clock->now() + timeout;
            auto answered = std::make_shared<std::promise<http::CallResult>>();
            http::CallEvents events;
            events.onData = std::move(onData);
            events.onDone = [answered](http::CallResult result) { answered->set_value(std::move(result)); };
            m_client->start({ m_server, std::move(request), until, until, false }, std::move(events));
            auto result = answered->get_future().get();
            if (result.end == http::CallEnd::Complete)
                return std::move(result.response);
            if (result.end == http::CallEnd::NotSent)
                return fail(Errc::Unreachable, "cannot reach " + m_server.toString());
            return fail(Errc::Ambiguous, "the answer of " + m_server.toString() + " was lost: " + result.detail);
        }

    private:
        config::Endpoint m_server;
        std::string m_bearer;
        std::unique_ptr<Clock> m_clock = systemClock();
        std::unique_ptr<http::IoPool> m_pool = http::IoPool::create(1);
        std::unique_ptr<http::Client> m_client = http::Client::create(*m_pool, *m_clock);
    };

} // namespace

std::unique_ptr<ApiClient> ApiClient::create(config::Endpoint server, std::string bearer)
{
    return std::make_unique<BlockingClient>(std::move(server), std::move(bearer));
}

} // namespace foxtailwheel::cli
