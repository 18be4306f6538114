#pragma once

#include "requests/types/retrybudgetoptions.h"

namespace clementinesill::requests {

// Token bucket filled by requests and emptied by retries, so that retries never multiply an overload.
class RetryBudget {
public:
    explicit RetryBudget(const RetryBudgetOptions& options = {});

    // Counts a new request.
    void onRequest();

    // Whether one retry is allowed; takes its token.
    bool tryTake();

private:
    RetryBudgetOptions m_options;
    double m_tokens;
};

} // namespace clementinesill::requests
