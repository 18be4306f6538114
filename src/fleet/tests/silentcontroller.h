#pragma once

#include "control.grpc.pb.h"
#include "fleet/types/watchtiming.h"

#include <chrono>
#include <grpcpp/grpcpp.h>
#include <string>
#include <thread>

// A controller that sends one table on each stream and then nothing, like one whose disk stalls.
class SilentController final : public clementinesill::schema::Fleet::Service {
public:
    // version 0 sends no table either.
    explicit SilentController(std::uint64_t version)
        : m_version(version)
    {
        grpc::ServerBuilder builder;
        builder.AddListeningPort("127.0.0.1:0", grpc::InsecureServerCredentials(), &m_port);
        builder.RegisterService(this);
        m_server = builder.BuildAndStart();
    }

    ~SilentController() override { m_server->Shutdown(std::chrono::system_clock::now()); }

    std::string endpoint() const { return "127.0.0.1:" + std::to_string(m_port); }

    grpc::Status Watch(grpc::ServerContext* context, const clementinesill::schema::WatchRequest*, grpc::ServerWriter<clementinesill::schema::TableUpdate>* writer) override
    {
        clementinesill::schema::TableUpdate update;
        update.mutable_table()->set_version(m_version);
        update.set_lease_ms(static_cast<std::uint32_t>(clementinesill::fleet::watchLease.count()));
        if (m_version)
            writer->Write(update);
        while (!context->IsCancelled())
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
        return grpc::Status::OK;
    }

private:
    std::uint64_t m_version;
    int m_port = 0;
    std::unique_ptr<grpc::Server> m_server;
};
