#pragma once

#include "control.grpc.pb.h"

#include <atomic>
#include <chrono>
#include <grpcpp/grpcpp.h>
#include <memory>
#include <string>
#include <thread>

// A controller that sends its updates after the lease time of the previous update.
class DelayedController final : public clementinesill::schema::Fleet::Service {
public:
    DelayedController()
    {
        grpc::ServerBuilder builder;
        builder.AddListeningPort("127.0.0.1:0", grpc::InsecureServerCredentials(), &m_port);
        builder.RegisterService(this);
        m_server = builder.BuildAndStart();
    }

    ~DelayedController() override { m_server->Shutdown(std::chrono::system_clock::now()); }

    std::string endpoint() const { return "127.0.0.1:" + std::to_string(m_port); }

    grpc::Status Watch(grpc::ServerContext* context, const clementinesill::schema::WatchRequest*, grpc::ServerWriter<clementinesill::schema::TableUpdate>* writer) override
    {
        ++streams;
        clementinesill::schema::TableUpdate update;
        update.mutable_table()->set_version(1);
        update.set_lease_ms(leaseMs);
        writer->Write(update);
        // Sends updates around the time at which the client's read times out.
        for (int message = 0; message < 40 && !context->IsCancelled(); ++message) {
            std::this_thread::sleep_for(std::chrono::milliseconds(leaseMs) + std::chrono::microseconds(50 * (message % 8)));
            for (int burst = 0; burst < 4; ++burst)
                writer->Write(update);
        }
        return grpc::Status::OK;
    }

    static constexpr std::uint32_t leaseMs = 5;

    std::atomic<int> streams { 0 };

private:
    int m_port = 0;
    std::unique_ptr<grpc::Server> m_server;
};
