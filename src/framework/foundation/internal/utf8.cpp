#include "foundation/utf8.h"

#include <boost/locale/utf.hpp>

namespace clementinesill {

bool isUtf8(std::string_view bytes)
{
    using namespace boost::locale::utf;
    for (auto position = bytes.begin(); position != bytes.end();) {
        const auto character = utf_traits<char>::decode(position, bytes.end());
        if (character == illegal || character == incomplete)
            return false;
    }
    return true;
}

} // namespace clementinesill
