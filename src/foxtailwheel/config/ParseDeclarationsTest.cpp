#include "foxtailwheel/config/Declarations.h"

#include "foxtailwheel/config/Difference.h"

#include <criterion/criterion.h>
#include <string>

using namespace foxtailwheel;

namespace {

const std::string validText = R"(zones:
  - { name: a, region: r }
  - { name: b, region: r }
links:
  - { from: a, to: b, one_way: 3ms, price: 5uc }
services:
  - name: encode
    kind: encoder
    typical_time: 10ms
    servers:
      - { name: e1, address: 127.0.0.1:9001, zone: a }
  - name: generate
    kind: model-engine
    depends_on: [encode]
    typical_time: 400ms
    price: 1mc
    servers:
      - { name: g1, address: 127.0.0.1:9002, zone: b }
pipelines:
  - { name: answer, result: generate, deadline: 2s }
accounts:
  - name: coop
    weight: 2
    credential_sha256: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa
)";

std::string replaced(std::string text, const std::string& from, const std::string& to)
{
    const auto at = text.find(from);
    cr_assert(at != std::string::npos, "the declarations do not contain '%s'", from.c_str());
    return text.replace(at, from.size(), to);
}

/// Returns the single fault of valid declarations after one replacement.
config::Fault onlyFault(const std::string& from, const std::string& to)
{
    const auto parsed = config::parseDeclarations(replaced(validText, from, to));
    cr_assert_eq(parsed.faults.size(), 1U, "%s", config::describe(parsed.faults).c_str());
    return parsed.faults.front();
}

} // namespace

Test(ParseDeclarations, parsesValidDeclarations)
{
    const auto parsed = config::parseDeclarations(validText);
    cr_assert(parsed.valid(), "%s", config::describe(parsed.faults).c_str());
    cr_assert_eq(parsed.declarations.services.size(), 2U);
    cr_assert_eq(parsed.declarations.services[1].price.microCredits, 1000);
    cr_assert(parsed.declarations.services[1].typicalTime == std::chrono::milliseconds(400));
}

Test(ParseDeclarations, reportsLocationAndNearestKey)
{
    const auto fault = onlyFault("    price: 1mc", "    prise: 1mc");
    cr_assert_eq(fault.line, 16);
    cr_assert_eq(fault.column, 5);
    cr_assert_eq(fault.path, std::string("services[1].prise"));
    cr_assert_eq(fault.suggestion, std::string("did you mean `price`?"));
}

Test(ParseDeclarations, rejectsMissingUnit)
{
    cr_assert(onlyFault("typical_time: 400ms", "typical_time: 400").message.find("needs one of the units")
        != std::string::npos);
}

Test(ParseDeclarations, rejectsUnknownZone)
{
    const auto fault = onlyFault("127.0.0.1:9002, zone: b", "127.0.0.1:9002, zone: c");
    cr_assert_eq(fault.path, std::string("services[1].servers[0].zone"));
}

Test(ParseDeclarations, rejectsUndeclaredService)
{
    cr_assert_eq(
        onlyFault("depends_on: [encode]", "depends_on: [encoder]").suggestion, std::string("did you mean `encode`?"));
}

Test(ParseDeclarations, rejectsDependencyCycle)
{
    const auto text = replaced(validText, "    kind: encoder\n", "    kind: encoder\n    depends_on: [generate]\n");
    const auto parsed = config::parseDeclarations(text);
    cr_assert_eq(parsed.faults.size(), 2U);
    cr_assert(parsed.faults[0].message.find("cycle") != std::string::npos);
}

Test(ParseDeclarations, rejectsDuplicateNamesAndAddresses)
{
    cr_assert(onlyFault("name: g1", "name: e1").message.find("declared twice") != std::string::npos);
    cr_assert(
        onlyFault("127.0.0.1:9002", "127.0.0.1:9001").message.find("is already used by 'e1'") != std::string::npos);
}

Test(ParseDeclarations, reportsAllFaultsAtOnce)
{
    auto text = replaced(validText, "typical_time: 10ms", "typical_time: soon");
    text = replaced(text, "deadline: 2s", "deadline: 2h");
    text = replaced(text, "weight: 2", "weight: none");
    cr_assert_eq(config::parseDeclarations(text).faults.size(), 3U);
}

Test(ParseDeclarations, rejectsNonIdempotentServiceSharedByPipelines)
{
    auto text = replaced(validText, "    kind: encoder\n", "    kind: plain\n    idempotent: false\n");
    text = replaced(text, "accounts:", "  - { name: again, result: generate, deadline: 2s }\naccounts:");
    const auto parsed = config::parseDeclarations(text);
    cr_assert_eq(parsed.faults.size(), 1U, "%s", config::describe(parsed.faults).c_str());
    cr_assert(parsed.faults[0].message.find("would run for pipeline 'answer' too") != std::string::npos);
}

Test(ParseDeclarations, rejectsMalformedYaml)
{
    cr_assert(!config::parseDeclarations("zones: [").valid());
    cr_assert(!config::parseDeclarations("- just\n- a list\n").valid());
    cr_assert(!config::parseDeclarations("").valid());
}

Test(Difference, reportsChangedItem)
{
    const auto before = config::parseDeclarations(validText).declarations;
    const auto after = config::parseDeclarations(replaced(validText, "deadline: 2s", "deadline: 3s")).declarations;
    const auto changes = config::difference(before, after);
    cr_assert_eq(changes.size(), 1U);
    cr_assert_eq(changes[0].path, std::string("pipelines/answer"));
    cr_assert(config::difference(before, before).empty());
}
