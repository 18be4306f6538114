#pragma once

#include <boost/asio/awaitable.hpp>

namespace clementinesill {
class IByteStream;
}

namespace clementinesill::net {

// Copies bytes both ways until both sides have sent their last. If one side breaks, the other is aborted.
boost::asio::awaitable<void> relay(IByteStream& left, IByteStream& right);

} // namespace clementinesill::net
