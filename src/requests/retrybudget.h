#pragma once

#include "requests/types/retrybudgetoptions.h"

namespace clementinesill::requests {

// Token bucket that requests fill and retries empty, so that retries do not amplify an overload.
class RetryBudget {
public:
    explicit RetryBudget(const RetryBudgetOptions& options = {});

    void onRequest();

    // Takes a token for a retry; false if there is none.
    bool tryTake();

private:
    RetryBudgetOptions m_options;
    double m_tokens;
};

} // namespace clementinesill::requests
