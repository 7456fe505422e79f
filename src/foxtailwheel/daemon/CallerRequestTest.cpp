#include "CallerRequest.h"

#include "foxtailwheel/base/Hash.h"
#include "foxtailwheel/testing/Declared.h"

#include <criterion/criterion.h>

using namespace foxtailwheel;
using namespace std::chrono_literals;
using daemon::CallerFault;

namespace {

std::shared_ptr<const serving::Catalog> catalog()
{
    auto declared = std::make_shared<config::Declarations>(*testing::smallDeployment(1));
    declared->accounts.front().credentialSha256 = sha256Hex("secret");
    return serving::makeCatalog(ConfigVersion(1), declared, nullptr, {});
}

http::Request requestTo(const std::string& pipeline, const std::string& body = "{}")
{
    return { "POST", "/v1/pipelines/" + pipeline + "/runs", { { "authorization", "Bearer secret" } }, body };
}

std::string codeOf(const http::Request& request)
{
    const auto read = daemon::readCallerRequest(request, catalog().get());
    const auto* fault = std::get_if<CallerFault>(&read);
    return fault == nullptr ? std::string("none") : fault->code;
}

http::Request with(http::Request request, const std::string& name, const std::string& value)
{
    request.headers.push_back({ name, value });
    return request;
}

} // namespace

Test(CallerRequest, readsAWholeRequest)
{
    const auto request
        = with(with(requestTo("answer", "{\"prompt\": \"x\"}"), "X-Deadline", "250ms"), "Accept", "text/event-stream");
    const auto read = daemon::readCallerRequest(request, catalog().get());
    const auto& out = std::get<serving::SubmitRequest>(read);
    cr_assert(out.timeLimit == 250ms && out.stream && out.prefix);
    cr_assert(out.account == ClientAccountId("coop"));
}

Test(CallerRequest, namesEveryFault)
{
    cr_assert_eq(codeOf(requestTo("answer")), std::string("none"));
    cr_assert_eq(codeOf(requestTo("nothing")), std::string("unknown_pipeline"));
    cr_assert_eq(codeOf(requestTo("answer", "[1]")), std::string("malformed_json"));
    cr_assert_eq(codeOf(requestTo("answer", "{")), std::string("malformed_json"));
    cr_assert_eq(codeOf(requestTo("answer", "{\"max_tokens\": \"many\"}")), std::string("bad_max_tokens"));
    cr_assert_eq(codeOf(with(requestTo("answer"), "X-Deadline", "soon")), std::string("bad_deadline"));
    cr_assert_eq(codeOf(with(requestTo("book"), "Idempotency-Key", "with space")), std::string("bad_idempotency_key"));
    cr_assert_eq(codeOf(requestTo("book")), std::string("key_missing"));
    auto stranger = requestTo("answer");
    stranger.headers.front().value = "Bearer wrong";
    cr_assert_eq(codeOf(stranger), std::string("unauthorized"));
    auto elsewhere = requestTo("answer");
    elsewhere.target = "/v2";
    cr_assert_eq(codeOf(elsewhere), std::string("unknown_path"));
}

Test(CallerRequest, whatMayHaveRunIsNeverAStatusThatBalancersRepeat)
{
    for (int i = 0; i <= static_cast<int>(pipeline::Reason::ShuttingDown); ++i) {
        const auto status
            = daemon::statusOf({ pipeline::OutcomeKind::Unknown, static_cast<pipeline::Reason>(i), nullptr, {} });
        cr_assert(status == 500 || status == 409);
    }
}
