#include "fleet/internal/watchstream.h"

namespace clementinesill::fleet {

namespace {

// All operations share one tag, since at most one is outstanding on the queue.
void* const watchTag = nullptr;

} // namespace

WatchStream::WatchStream(schema::Fleet::Stub& stub, const schema::WatchRequest& request, grpc::ClientContext& context, Duration openTimeout)
    : m_openTimeout(openTimeout)
    , m_context(context)
    , m_reader(stub.AsyncWatch(&m_context, request, &m_queue, watchTag))
{
}

WatchStream::~WatchStream()
{
    m_context.TryCancel();
    m_queue.Shutdown();
    void* tag = nullptr;
    bool ok = false;
    while (m_queue.Next(&tag, &ok)) { }
}

const schema::TableUpdate* WatchStream::read(Duration timeout)
{
    m_reader->Read(&m_update, watchTag);
    return waitForEvent(timeout) ? &m_update : nullptr;
}

grpc::Status WatchStream::finish()
{
    if (m_timedOut)
        return { grpc::StatusCode::DEADLINE_EXCEEDED, "the controller sent no update within the lease time" };
    grpc::Status status;
    m_reader->Finish(&status, watchTag);
    waitForEvent(m_openTimeout);
    return status;
}

bool WatchStream::waitForEvent(Duration timeout)
{
    void* tag = nullptr;
    bool ok = false;
    if (m_queue.AsyncNext(&tag, &ok, std::chrono::system_clock::now() + timeout) == grpc::CompletionQueue::GOT_EVENT)
        return ok;
    m_timedOut = true;
    return false;
}

} // namespace clementinesill::fleet
