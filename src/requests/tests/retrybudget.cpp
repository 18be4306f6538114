#include "requests/retrybudget.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

using namespace clementinesill::requests;

// clang-format off
TEST_GROUP(RetryBudget) {};
// clang-format on

TEST(RetryBudget, RetriesStayWithinBudget)
{
    CHECK(rc::check("retries <= maxTokens + ratio * requests", [](const std::vector<bool>& steps) {
        const RetryBudgetOptions options { .ratio = 0.2, .maxTokens = 3 };
        RetryBudget budget(options);
        double requests = 0;
        double retries = 0;
        for (const auto isRequest : steps) {
            if (isRequest) {
                budget.onRequest();
                requests += 1;
            } else if (budget.tryTake()) {
                retries += 1;
            }
            RC_ASSERT(retries <= options.maxTokens + options.ratio * requests + 1e-9);
        }
    }));
}
