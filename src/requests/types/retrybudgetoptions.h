#pragma once

namespace clementinesill::requests {

// Token bucket that limits retries in proportion to requests.
struct RetryBudgetOptions {
    // Tokens added for each request; a retry takes one token.
    double ratio = 0.1;
    // Bucket size; the bucket is full at the start.
    double maxTokens = 10;
};

} // namespace clementinesill::requests
