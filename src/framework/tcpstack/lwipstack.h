#pragma once

#include "tcpstack/itcpstack.h"

#include <memory>

namespace boost::asio {
class io_context;
}

namespace clementinesill::tcpstack {

class IPacketSink;

// Creates the stack of the process, with the given IPv4 address in host byte order. lwIP keeps its state in global
// variables, so a process has one stack, which lives until the process exits. loop and sink must outlive it; loop must run
// on a single thread.
std::shared_ptr<ITcpStack> makeLwipStack(std::uint32_t address, boost::asio::io_context& loop, IPacketSink& sink);

} // namespace clementinesill::tcpstack
