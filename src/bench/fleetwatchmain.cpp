// Stand-in for many daemons: each watches the table over a connection of its own while changes are made. Prints one JSON
// object: changes accepted and in force on all of them, and payload bytes for each daemon.
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

// One stand-in daemon.
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

bool allAt(const Watchers& watchers, std::uint64_t version)
{
    return std::all_of(watchers.begin(), watchers.end(), [&](const auto& watcher) { return watcher->version >= version; });
}

void waitFor(const Watchers& watchers, std::uint64_t version)
{
    while (!allAt(watchers, version))
        std::this_thread::sleep_for(std::chrono::microseconds(200));
}

std::uint64_t allBytes(const Watchers& watchers)
{
    std::uint64_t sum = 0;
    for (const auto& watcher : watchers)
        sum += watcher->bytes;
    return sum;
}

std::string leaderOf(const std::vector<std::string>& controllers)
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
    throw std::runtime_error("no controller leads");
}

schema::ChangeResponse change(schema::Operators::Stub& stub, std::uint64_t revision, int number, const std::string& prefix)
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
        throw std::runtime_error("a change failed: " + status.error_message() + response.outcome().message());
    return response;
}

double quantile(std::vector<double> values, double share)
{
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(share * static_cast<double>(values.size() - 1))];
}

void run(const std::vector<std::string>& controllers, int daemons, int changes, int restSeconds)
{
    const auto leader = leaderOf(controllers);
    const auto stub = schema::Operators::NewStub(grpc::CreateChannel(leader, grpc::InsecureChannelCredentials()));
    const auto prefix = std::to_string(Clock::now().time_since_epoch().count()) + "-";
    schema::ReadConfigResponse config;
    grpc::ClientContext context;
    stub->ReadConfig(&context, {}, &config);
    Watchers watchers;
    for (int number = 0; number < daemons; ++number)
        watchers.push_back(std::make_unique<Watcher>(leader, number));
    auto last = change(*stub, config.revision(), 0, prefix);
    waitFor(watchers, last.version());
    const auto restBefore = allBytes(watchers);
    std::this_thread::sleep_for(std::chrono::seconds(restSeconds));
    const auto changesBefore = allBytes(watchers);
    std::vector<double> accepted;
    std::vector<double> inForce;
    for (int number = 1; number <= changes; ++number) {
        const auto start = Clock::now();
        last = change(*stub, last.revision(), number, prefix);
        accepted.push_back(Milliseconds(Clock::now() - start).count());
        waitFor(watchers, last.version());
        inForce.push_back(Milliseconds(Clock::now() - start).count());
    }
    const auto perDaemon = [&](std::uint64_t bytes, int over) { return static_cast<double>(bytes) / daemons / over; };
    std::cout << nlohmann::ordered_json {
        { "daemons", daemons },
        { "changes", changes },
        { "accepted_ms_p50", quantile(accepted, 0.5) },
        { "accepted_ms_p99", quantile(accepted, 0.99) },
        { "in_force_ms_p50", quantile(inForce, 0.5) },
        { "in_force_ms_p99", quantile(inForce, 0.99) },
        { "rest_payload_bytes_per_daemon_second", perDaemon(changesBefore - restBefore, restSeconds) },
        { "payload_bytes_per_daemon_change", perDaemon(allBytes(watchers) - changesBefore, changes) },
    } << '\n';
    for (const auto& watcher : watchers)
        watcher->cancel();
    while (!std::all_of(watchers.begin(), watchers.end(), [](const auto& watcher) { return watcher->done.load(); }))
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options("fleetwatch", "Many stand-in daemons that watch the table.");
    options.add_options()("controllers", "gRPC endpoints", cxxopts::value<std::vector<std::string>>());
    options.add_options()("daemons", "stand-in daemons", cxxopts::value<int>()->default_value("100"));
    options.add_options()("changes", "changes made", cxxopts::value<int>()->default_value("50"));
    options.add_options()("rest-seconds", "time without changes that is measured", cxxopts::value<int>()->default_value("5"));
    try {
        const auto arguments = options.parse(argc, argv);
        run(arguments["controllers"].as<std::vector<std::string>>(), arguments["daemons"].as<int>(), arguments["changes"].as<int>(), arguments["rest-seconds"].as<int>());
        return 0;
    } catch (const std::exception& error) {
        std::cerr << "fleetwatch: " << error.what() << '\n';
        return 1;
    }
}
