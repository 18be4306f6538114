#include "net/relay.h"

#include "foundation/error.h"
#include "net/ibytestream.h"

#include <boost/asio/experimental/awaitable_operators.hpp>
#include <vector>

namespace clementinesill::net {

namespace asio = boost::asio;

namespace {

constexpr std::size_t relayBufferBytes = 4096;

asio::awaitable<void> copy(IByteStream& from, IByteStream& to)
{
    std::vector<std::byte> buffer(relayBufferBytes);
    try {
        while (const auto length = co_await from.readSome(buffer))
            co_await to.write(std::span(buffer).first(length));
        to.shutdownWrite();
    } catch (const Error&) {
        from.abort();
        to.abort();
    }
}

} // namespace

asio::awaitable<void> relay(IByteStream& left, IByteStream& right)
{
    using namespace asio::experimental::awaitable_operators;
    co_await (copy(left, right) && copy(right, left));
}

} // namespace clementinesill::net
