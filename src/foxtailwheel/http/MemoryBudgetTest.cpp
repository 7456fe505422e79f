#include "foxtailwheel/http/MemoryBudget.h"

#include <criterion/criterion.h>
#include <string>
#include <vector>

using namespace foxtailwheel::http;

namespace {

struct Fixture {
    explicit Fixture(const MemoryBudgetOptions& options)
        : budget(MemoryBudget::create(options))
    {
    }

    std::unique_ptr<MemoryHolding> hold(const std::string& name, MemoryUse use, std::size_t bytes)
    {
        auto holding = budget->hold([this, name] { ended.push_back(name); });
        holding->set(use, bytes);
        return holding;
    }

    std::shared_ptr<MemoryBudget> budget;
    std::vector<std::string> ended;
};

using Names = std::vector<std::string>;

} // namespace

// Guards against ending work while new requests could still be refused instead.
Test(MemoryBudget, refusesNewRequestsBeforeAnythingEnds)
{
    Fixture it({ .maxBytes = 100 });
    const auto first = it.hold("first", MemoryUse::IncompleteRequest, 40);
    cr_assert(it.budget->admits(35));
    cr_assert(!it.budget->admits(36));
    const auto second = it.hold("second", MemoryUse::IncompleteRequest, 60);
    cr_assert(!it.budget->admits(0));
    cr_assert(it.ended.empty());
}

// Guards against a bound that no request inside the limits can pass on a small machine.
Test(MemoryBudget, admitsAndKeepsASingleRequestOfAnySize)
{
    Fixture it({ .maxBytes = 100 });
    cr_assert(it.budget->admits(1000));
    const auto only = it.hold("only", MemoryUse::IncompleteRequest, 1000);
    cr_assert(it.ended.empty());
}

// Guards against another order of what is given up, in particular responses to requests that may run only once.
Test(MemoryBudget, givesUpInTheOrderOfUsesAndTheLargestFirst)
{
    Fixture it({ .maxBytes = 150 });
    const auto running = it.hold("running", MemoryUse::RequestInProgress, 50);
    const auto ready = it.hold("ready", MemoryUse::ReadyResponse, 40);
    const auto server = it.hold("server", MemoryUse::ServerResponse, 20);
    const auto fast = it.hold("fast reader", MemoryUse::StreamResponse, 5);
    const auto slow = it.hold("slow reader", MemoryUse::StreamResponse, 10);
    const auto small = it.hold("small body", MemoryUse::IncompleteRequest, 5);
    const auto large = it.hold("large body", MemoryUse::IncompleteRequest, 10);
    cr_assert(it.ended.empty());
    Names expected;
    for (const auto& [bytes, name] : std::vector<std::pair<std::size_t, std::string>> { { 61, "large body" },
             { 71, "small body" }, { 76, "slow reader" }, { 86, "fast reader" }, { 91, "server" }, { 111, "ready" } }) {
        running->set(MemoryUse::RequestInProgress, bytes);
        expected.push_back(name);
        cr_assert_eq(it.ended, expected, "at %zu bytes, %zu have ended", bytes, it.ended.size());
    }
    running->set(MemoryUse::RequestInProgress, 1000);
    cr_assert_eq(it.ended, expected, "a request in progress does not end");
}

// Guards against ending more than is needed while the first holding still frees its bytes, and against bytes that stay
// counted after their clients have left.
Test(MemoryBudget, countsWhatIsEndingAsGoneButNotAsFree)
{
    Fixture it({ .maxBytes = 100 });
    auto first = it.hold("first", MemoryUse::IncompleteRequest, 60);
    const auto second = it.hold("second", MemoryUse::IncompleteRequest, 50);
    cr_assert_eq(it.ended, Names { "first" });
    cr_assert_eq(it.budget->heldBytes(), 110U);
    const auto third = it.hold("third", MemoryUse::IncompleteRequest, 40);
    cr_assert_eq(it.ended.size(), 1U);
    cr_assert(!it.budget->admits(0));
    first->set(MemoryUse::IncompleteRequest, 70);
    first.reset();
    cr_assert_eq(it.budget->heldBytes(), 90U);
}

// Guards against servers whose responses take the memory that callers need.
Test(MemoryBudget, boundsTheResponsesOfServersAlone)
{
    Fixture it({ .maxBytes = 1000, .maxServerResponseBytes = 50 });
    const auto body = it.hold("body", MemoryUse::IncompleteRequest, 500);
    const auto small = it.hold("small", MemoryUse::ServerResponse, 20);
    const auto large = it.hold("large", MemoryUse::ServerResponse, 31);
    cr_assert_eq(it.ended, Names { "large" });
}
