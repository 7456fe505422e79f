#include "FaultyResponse.h"

#include <criterion/criterion.h>
#include <future>

using namespace foxtailwheel;
using namespace std::chrono_literals;
using standin::FaultKind;

namespace {

/// Records how a response ends.
class RecordingResponder final : public http::Responder {
public:
    void respond(http::Response response) override
    {
        auto text = std::to_string(response.status);
        for (const auto& it : response.headers)
            text += " " + it.name + ": " + it.value;
        m_end.set_value(text);
    }
    void beginStream(http::Response /*head*/) override { }
    bool write(std::string chunk) override
    {
        m_written += chunk;
        return true;
    }
    void endStream() override { m_end.set_value("end"); }
    void abort() override { m_end.set_value("abort after '" + m_written + "'"); }
    void onDisconnect(std::function<void()> /*work*/) override { }
    std::future<std::string> end() { return m_end.get_future(); }

private:
    std::string m_written;
    std::promise<std::string> m_end;
};

struct Expected {
    FaultKind kind;
    bool executed;
    std::string end; ///< Empty if there is no response.
};

} // namespace

Test(FaultyResponse, eachKindOfFaultIsPlayed)
{
    const auto pool = http::IoPool::create(1);
    const std::vector<Expected> expected { { FaultKind::Refuse, false, "503" }, { FaultKind::Fail, false, "500" },
        { FaultKind::CloseBefore, false, "abort after ''" }, { FaultKind::CloseMiddle, true, "abort after 'ab'" },
        { FaultKind::CloseAfter, true, "abort after ''" }, { FaultKind::Silent, true, "" },
        { FaultKind::Late, true, "200" }, { FaultKind::Leaving, true, "200 X-Leaving: 1" },
        { FaultKind::Pause, false, "503 X-Not-Started: 1 Retry-After: 0.02" } };
    for (const auto& it : expected) {
        const auto responder = std::make_shared<RecordingResponder>();
        auto end = responder->end();
        bool executed = false;
        standin::respondWithFault(*pool, responder, { it.kind, 20ms }, [&executed] {
            executed = true;
            return http::Response { 200, {}, "abcd" };
        });
        cr_assert_eq(executed, it.executed);
        if (it.end.empty())
            cr_assert(end.wait_for(50ms) == std::future_status::timeout);
        else
            cr_assert_eq(end.get(), it.end);
    }
    pool->stop();
}
