#pragma once

#include "control.grpc.pb.h"
#include "foundation/iclock.h"

#include <chrono>
#include <grpcpp/grpcpp.h>
#include <memory>

namespace clementinesill::fleet {

// Reads a gRPC stream of table updates with blocking calls that have a timeout.
class WatchStream {
public:
    // The context must outlive the stream. openTimeout applies to opening the stream and to reading its final status.
    WatchStream(schema::Fleet::Stub& stub, const schema::WatchRequest& request, grpc::ClientContext& context, Duration openTimeout);
    ~WatchStream();
    WatchStream(const WatchStream&) = delete;
    WatchStream& operator=(const WatchStream&) = delete;

    // Blocks until the stream is open; false if it ended or on timeout.
    bool waitUntilOpen() { return waitForEvent(m_openTimeout); }

    // Blocks until the next update; null if the stream ended or on timeout.
    const schema::TableUpdate* read(Duration timeout);

    // Status with which the stream ended; DEADLINE_EXCEEDED after a timeout.
    grpc::Status finish();

private:
    // Blocks until the outstanding operation completes; false if it failed, on timeout, or if the context was cancelled.
    bool waitForEvent(Duration timeout);

    const Duration m_openTimeout;
    bool m_timedOut = false;
    // Declared before m_queue so that it outlives it: a read that timed out writes here until the destructor drains the queue.
    schema::TableUpdate m_update;
    grpc::ClientContext& m_context;
    grpc::CompletionQueue m_queue;
    std::unique_ptr<grpc::ClientAsyncReader<schema::TableUpdate>> m_reader;
};

} // namespace clementinesill::fleet
