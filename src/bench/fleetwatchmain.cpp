// Simulates many daemons that watch the table, each over its own connection, while the configuration changes. Prints one JSON
// object with the time until a change is accepted, the time until all daemons have received it, and the payload bytes per
// daemon.
#include "control.grpc.pb.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cxxopts.hpp>
#include <grpcpp/grpcpp.h>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>
#include <thread>
#include <vector>

using namespace clementinesill;

namespace {

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::duration<double, std::milli>;

// One simulated daemon.
class Watcher final : public grpc::ClientReadReactor<schema::TableUpdate> {
public:
    Watcher(const std::string& endpoint, int number)
    {
        grpc::ChannelArguments arguments;
        arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
        m_stub = schema::Fleet::NewStub(grpc::CreateCustomChannel(endpoint, grpc::InsecureChannelCredentials(), arguments));
        m_request.set_daemon("stand-in-" + std::to_string(number));
        m_request.set_role(schema::ROLE_BALANCER);
        m_stub->async()->Watch(&m_context, &m_request, this);
        StartRead(&m_update);
        StartCall();
    }

    void OnReadDone(bool ok) override
    {
        if (!ok)
            return;
        bytes += m_update.ByteSizeLong();
        if (m_update.has_table())
            version = m_update.table().version();
        else if (m_update.has_delta())
            version = m_update.delta().to_version();
        StartRead(&m_update);
    }

    void OnDone(const grpc::Status&) override { done = true; }

    void cancel() { m_context.TryCancel(); }

    std::atomic<std::uint64_t> version { 0 };
    std::atomic<std::uint64_t> bytes { 0 };
    std::atomic<bool> done { false };

private:
    grpc::ClientContext m_context;
    std::unique_ptr<schema::Fleet::Stub> m_stub;
    schema::WatchRequest m_request;
    schema::TableUpdate m_update;
};

using Watchers = std::vector<std::unique_ptr<Watcher>>;

bool allHaveVersion(const Watchers& watchers, std::uint64_t version)
{
    return std::all_of(watchers.begin(), watchers.end(), [&](const auto& watcher) { return watcher->version >= version; });
}

void waitForVersion(const Watchers& watchers, std::uint64_t version)
{
    while (!allHaveVersion(watchers, version))
        std::this_thread::sleep_for(std::chrono::microseconds(200));
}

std::uint64_t totalBytes(const Watchers& watchers)
{
    std::uint64_t sum = 0;
    for (const auto& watcher : watchers)
        sum += watcher->bytes;
    return sum;
}

std::string findLeader(const std::vector<std::string>& controllers)
{
    for (int attempt = 0; attempt < 200; ++attempt) {
        for (const auto& endpoint : controllers) {
            const auto stub = schema::Operators::NewStub(grpc::CreateChannel(endpoint, grpc::InsecureChannelCredentials()));
            grpc::ClientContext context;
            schema::StatusResponse response;
            if (stub->Status(&context, {}, &response).ok() && response.self().lease_valid())
                return endpoint;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }
    throw std::runtime_error("no controller is the leader");
}

schema::ChangeResponse applyChange(schema::Operators::Stub& stub, std::uint64_t revision, int number, const std::string& prefix)
{
    schema::ApplyRequest request;
    request.set_request_id(prefix + std::to_string(number));
    request.set_base_revision(revision);
    auto& file = *request.add_files();
    file.set_name("10.json");
    file.set_content(R"({"services": [{"name": "desk", "address": "127.0.0.1", "port": )" + std::to_string(10000 + number) + R"(, "protocol": "tcp", "mode": "http"}]})");
    grpc::ClientContext context;
    schema::ChangeResponse response;
    const auto status = stub.Apply(&context, request, &response);
    if (!status.ok() || response.outcome().code() != schema::Outcome::CODE_OK)
        throw std::runtime_error("change was not accepted: " + status.error_message() + response.outcome().message());
    return response;
}

double quantile(std::vector<double> values, double fraction)
{
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(fraction * static_cast<double>(values.size() - 1))];
}

void run(const std::vector<std::string>& controllers, int daemonCount, int changeCount, int idleSeconds)
{
    const auto leader = findLeader(controllers);
    const auto stub = schema::Operators::NewStub(grpc::CreateChannel(leader, grpc::InsecureChannelCredentials()));
    const auto prefix = std::to_string(Clock::now().time_since_epoch().count()) + "-";
    schema::ReadConfigResponse config;
    grpc::ClientContext context;
    stub->ReadConfig(&context, {}, &config);
    Watchers watchers;
    for (int number = 0; number < daemonCount; ++number)
        watchers.push_back(std::make_unique<Watcher>(leader, number));
    auto lastChange = applyChange(*stub, config.revision(), 0, prefix);
    waitForVersion(watchers, lastChange.version());
    const auto bytesBeforeIdlePeriod = totalBytes(watchers);
    std::this_thread::sleep_for(std::chrono::seconds(idleSeconds));
    const auto bytesBeforeChanges = totalBytes(watchers);
    std::vector<double> acceptedTimes;
    std::vector<double> receivedTimes;
    for (int number = 1; number <= changeCount; ++number) {
        const auto start = Clock::now();
        lastChange = applyChange(*stub, lastChange.revision(), number, prefix);
        acceptedTimes.push_back(Milliseconds(Clock::now() - start).count());
        waitForVersion(watchers, lastChange.version());
        receivedTimes.push_back(Milliseconds(Clock::now() - start).count());
    }
    const auto perDaemon = [&](std::uint64_t bytes, int divisor) { return static_cast<double>(bytes) / daemonCount / divisor; };
    std::cout << nlohmann::ordered_json {
        { "daemons", daemonCount },
        { "changes", changeCount },
        { "accepted_ms_p50", quantile(acceptedTimes, 0.5) },
        { "accepted_ms_p99", quantile(acceptedTimes, 0.99) },
        { "in_force_ms_p50", quantile(receivedTimes, 0.5) },
        { "in_force_ms_p99", quantile(receivedTimes, 0.99) },
        { "rest_payload_bytes_per_daemon_second", perDaemon(bytesBeforeChanges - bytesBeforeIdlePeriod, idleSeconds) },
        { "payload_bytes_per_daemon_change", perDaemon(totalBytes(watchers) - bytesBeforeChanges, changeCount) },
    } << '\n';
    for (const auto& watcher : watchers)
        watcher->cancel();
    while (!std::all_of(watchers.begin(), watchers.end(), [](const auto& watcher) { return watcher->done.load(); }))
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options("fleetwatch", "Simulates many daemons that watch the table.");
    options.add_options()("controllers", "gRPC endpoints of the controllers", cxxopts::value<std::vector<std::string>>());
    options.add_options()("daemons", "number of simulated daemons", cxxopts::value<int>()->default_value("100"));
    options.add_options()("changes", "number of changes", cxxopts::value<int>()->default_value("50"));
    options.add_options()("rest-seconds", "length of the measured period without changes", cxxopts::value<int>()->default_value("5"));
    try {
        const auto arguments = options.parse(argc, argv);
        run(arguments["controllers"].as<std::vector<std::string>>(), arguments["daemons"].as<int>(), arguments["changes"].as<int>(), arguments["rest-seconds"].as<int>());
        return 0;
    } catch (const std::exception& error) {
        std::cerr << "fleetwatch: " << error.what() << '\n';
        return 1;
    }
}
