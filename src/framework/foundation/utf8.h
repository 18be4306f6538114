#pragma once

#include <string_view>

namespace clementinesill {

// Whether the bytes are text in UTF-8. Text fields of messages between daemons must be: other bytes can be sent, but the receiver
// rejects the whole message.
bool isUtf8(std::string_view bytes);

} // namespace clementinesill
