#pragma once

namespace clementinesill::requests {

// Retries that are allowed in proportion to requests.
struct RetryBudgetOptions {
    // Retries earned by each request.
    double share = 0.1;
    // Retries kept at most, and held at the start.
    double maximum = 10;
};

} // namespace clementinesill::requests
