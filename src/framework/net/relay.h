#pragma once

#include <boost/asio/awaitable.hpp>

namespace clementinesill {
class IByteStream;
}

namespace clementinesill::net {

// Copies bytes in both directions until both sides have closed their direction. If one side fails, both are aborted.
boost::asio::awaitable<void> relay(IByteStream& left, IByteStream& right);

} // namespace clementinesill::net
