#include "passthrough/types/search.h"

#include <algorithm>

namespace clementinesill::passthrough {

bool Search::asked(std::uint32_t serverId) const
{
    return std::find(visited.begin(), visited.end(), serverId) != visited.end();
}

} // namespace clementinesill::passthrough
