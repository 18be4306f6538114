#include "requests/retrybudget.h"

#include <algorithm>

namespace clementinesill::requests {

RetryBudget::RetryBudget(const RetryBudgetOptions& options)
    : m_options(options)
    , m_tokens(options.maxTokens)
{
}

void RetryBudget::onRequest()
{
    m_tokens = std::min(m_options.maxTokens, m_tokens + m_options.ratio);
}

bool RetryBudget::tryTake()
{
    if (m_tokens < 1)
        return false;
    m_tokens -= 1;
    return true;
}

} // namespace clementinesill::requests
