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

// Options of a GroupJoiner. The references must outlive it.
struct GroupJoinerOptions {
    std::string name;
    std::string endpoint;
    ReplicatedLog& log;
    // Returns the gRPC endpoints of controllers to ask in addition to the known peers; called in each round.
    std::function<std::vector<std::string>()> seeds;
    std::shared_ptr<grpc::ChannelCredentials> credentials;
};

} // namespace clementinesill::control
