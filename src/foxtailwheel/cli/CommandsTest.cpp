#include "foxtailwheel/cli/Commands.h"
#include "foxtailwheel/cli/Output.h"

#include <criterion/criterion.h>
#include <fstream>
#include <sstream>
#include <unistd.h>

using namespace foxtailwheel;
using cli::ExitCode;

namespace {

struct CommandResult {
    ExitCode code = ExitCode::Ok;
    std::string out;
    std::string err;
};

CommandResult run(const std::vector<std::string>& args)
{
    std::ostringstream out;
    std::ostringstream err;
    const auto code = cli::runCommand(args, out, err);
    return { code, out.str(), err.str() };
}

std::string writeTempFile(const std::string& text)
{
    // Tests run in parallel, each in its own process, so the process ID makes the path unique.
    const std::string path = "/tmp/foxtailwheel-commands-test-" + std::to_string(::getpid());
    std::ofstream(path) << text;
    return path;
}

} // namespace

Test(Commands, helpListsEveryCommand)
{
    const auto help = run({ "--help" });
    cr_assert(help.code == ExitCode::Ok);
    for (const auto* name :
        { "config check", "config apply", "status", "backends", "accounts", "audit", "drain", "call" })
        cr_assert(help.out.find(name) != std::string::npos, "%s", name);
}

Test(Commands, invalidUsageReturnsUsageCode)
{
    cr_assert(run({}).code == ExitCode::Usage);
    cr_assert(run({ "dance" }).code == ExitCode::Usage);
    cr_assert(run({ "status", "--nonsense" }).code == ExitCode::Usage);
    cr_assert(run({ "status" }).err.find("--operators") != std::string::npos);
    cr_assert(run({ "status", "--output", "xml" }).code == ExitCode::Usage);
    cr_assert(run({ "config", "check", "/nowhere/at/all" }).code == ExitCode::Usage);
    cr_assert(run({ "status", "--wait-limit", "soon" }).code == ExitCode::Usage);
}

Test(Commands, configCheckReportsEveryError)
{
    const auto result = run({ "config", "check", writeTempFile("zones: []\nservises: []\n") });
    cr_assert(result.code == ExitCode::Invalid);
    cr_assert(result.err.find("did you mean `services`?") != std::string::npos);
    cr_assert(result.err.find("needs at least one availability zone") != std::string::npos);
}

Test(Commands, unreachableInstanceReturnsUnavailable)
{
    const auto status
        = run({ "status", "--operators", "127.0.0.1:1", "--token-file", writeTempFile("some-token-of-an-operator") });
    cr_assert(status.code == ExitCode::Unavailable);
}

Test(Output, columnsAreAligned)
{
    std::ostringstream out;
    cli::printTable(
        out, { { "A", "a" }, { "B", "b" } }, { { { "a", "long value" }, { "b", 1 } }, { { "b", { "x", "y", "z" } } } });
    cr_assert_eq(out.str(), std::string("A           B\nlong value  1\n-           x (and 2 more)\n"));
}
