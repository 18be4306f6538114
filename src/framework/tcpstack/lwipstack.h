#pragma once

#include "tcpstack/itcpstack.h"

#include <memory>

namespace boost::asio {
class io_context;
}

namespace clementinesill::tcpstack {

class IPacketSink;

// Makes the process's stack with the given address. lwIP keeps its state in globals, so there is one stack a process,
// and it lives until the process ends. loop, which runs on one thread, and sink must outlive it.
std::shared_ptr<ITcpStack> makeLwipStack(std::uint32_t address, boost::asio::io_context& loop, IPacketSink& sink);

} // namespace clementinesill::tcpstack
