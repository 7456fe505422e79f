#include "CallerRequest.h"

#include "foxtailwheel/base/Hash.h"
#include "foxtailwheel/testing/TestDeclarations.h"

#include <criterion/criterion.h>

using namespace foxtailwheel;
using namespace std::chrono_literals;
using daemon::RequestError;

namespace {

std::shared_ptr<const serving::ConfigSnapshot> snapshot()
{
    auto declared = std::make_shared<config::Declarations>(*testing::smallDeployment(1));
    declared->accounts.front().credentialSha256 = sha256Hex("secret");
    return serving::makeConfigSnapshot(ConfigVersion(1), declared, nullptr, {});
}

http::Request requestTo(const std::string& pipeline, const std::string& body = "{}")
{
    return { "POST", "/v1/pipelines/" + pipeline + "/runs", { { "authorization", "Bearer secret" } }, body };
}

std::string errorCodeOf(const http::Request& request)
{
    const auto parsed = daemon::parseCallerRequest(request, snapshot().get());
    const auto* error = std::get_if<RequestError>(&parsed);
    return error == nullptr ? std::string("none") : error->code;
}

http::Request withHeader(http::Request request, const std::string& name, const std::string& value)
{
    request.headers.push_back({ name, value });
    return request;
}

} // namespace

Test(CallerRequest, parsesACompleteRequest)
{
    const auto request = withHeader(
        withHeader(requestTo("answer", "{\"prompt\": \"x\"}"), "X-Deadline", "250ms"), "Accept", "text/event-stream");
    const auto parsed = daemon::parseCallerRequest(request, snapshot().get());
    const auto& out = std::get<serving::SubmitRequest>(parsed);
    cr_assert(out.timeout == 250ms && out.stream && out.prefix);
    cr_assert(out.account == ClientAccountId("coop"));
}

Test(CallerRequest, returnsTheErrorCodeOfEachInvalidRequest)
{
    cr_assert_eq(errorCodeOf(requestTo("answer")), std::string("none"));
    cr_assert_eq(errorCodeOf(requestTo("nothing")), std::string("unknown_pipeline"));
    cr_assert_eq(errorCodeOf(requestTo("answer", "[1]")), std::string("malformed_json"));
    cr_assert_eq(errorCodeOf(requestTo("answer", "{")), std::string("malformed_json"));
    cr_assert_eq(errorCodeOf(requestTo("answer", "{\"max_tokens\": \"many\"}")), std::string("bad_max_tokens"));
    cr_assert_eq(errorCodeOf(withHeader(requestTo("answer"), "X-Deadline", "soon")), std::string("bad_deadline"));
    cr_assert_eq(errorCodeOf(withHeader(requestTo("book"), "Idempotency-Key", "with space")),
        std::string("bad_idempotency_key"));
    cr_assert_eq(errorCodeOf(requestTo("book")), std::string("key_missing"));
    auto wrongCredential = requestTo("answer");
    wrongCredential.headers.front().value = "Bearer wrong";
    cr_assert_eq(errorCodeOf(wrongCredential), std::string("unauthorized"));
    auto wrongPath = requestTo("answer");
    wrongPath.target = "/v2";
    cr_assert_eq(errorCodeOf(wrongPath), std::string("unknown_path"));
}

// A request with deeply nested arrays ended the process.
Test(CallerRequest, deeplyNestedBodyIsMalformed)
{
    const std::string body = "{\"prompt\":" + std::string(500000, '[') + std::string(500000, ']') + "}";
    cr_assert_eq(errorCodeOf(requestTo("answer", body)), std::string("malformed_json"));
    serving::Reply reply;
    reply.outcome.answer = pipeline::makePayload(body);
    cr_assert_lt(daemon::replyBody(reply, true).size(), 3 * body.size());
}

Test(CallerRequest, unknownOutcomesNeverGetAStatusThatLoadBalancersRetry)
{
    for (int i = 0; i <= static_cast<int>(pipeline::Reason::ShuttingDown); ++i) {
        const auto status
            = daemon::httpStatusOf({ pipeline::OutcomeKind::Unknown, static_cast<pipeline::Reason>(i), nullptr, {} });
        cr_assert(status == 500 || status == 409);
    }
}
