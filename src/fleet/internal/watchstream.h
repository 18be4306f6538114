#pragma once

#include "control.grpc.pb.h"
#include "foundation/iclock.h"

#include <chrono>
#include <grpcpp/grpcpp.h>
#include <memory>

namespace clementinesill::fleet {

// Reads one stream of table updates in a straight line with timeouts.
class WatchStream {
public:
    // How long a new stream may take to its first update.
    static constexpr std::chrono::seconds firstUpdateTimeout { 2 };

    // The context must outlive the stream.
    WatchStream(schema::Fleet::Stub& stub, const schema::WatchRequest& request, grpc::ClientContext& context);
    ~WatchStream();
    WatchStream(const WatchStream&) = delete;
    WatchStream& operator=(const WatchStream&) = delete;

    // Waits until the stream is open; false if it ended or the time is over.
    bool opened() { return await(firstUpdateTimeout); }

    // Null if the stream has ended or the time is over.
    const schema::TableUpdate* read(Duration timeout);

    // Why the stream ended.
    grpc::Status finish();

private:
    // False if the event failed or the time is over. A cancelled context fails the event.
    bool await(Duration timeout);

    bool m_timedOut = false;
    // Outlives the queue: a read that was given up is finished when the queue is emptied.
    schema::TableUpdate m_update;
    grpc::ClientContext& m_context;
    grpc::CompletionQueue m_queue;
    std::unique_ptr<grpc::ClientAsyncReader<schema::TableUpdate>> m_reader;
};

} // namespace clementinesill::fleet
