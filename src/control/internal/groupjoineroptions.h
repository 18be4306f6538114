#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace grpc {
class ChannelCredentials;
}

namespace clementinesill::control {

class ReplicatedLog;

// What a joiner works with. The references must outlive it.
struct GroupJoinerOptions {
    std::string name;
    std::string endpoint;
    ReplicatedLog& log;
    // gRPC endpoints to ask first; called again for each round.
    std::function<std::vector<std::string>()> seeds;
    std::shared_ptr<grpc::ChannelCredentials> credentials;
};

} // namespace clementinesill::control
