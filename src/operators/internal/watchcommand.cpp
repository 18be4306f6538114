#include "operators/internal/watchcommand.h"

#include "control.pb.h"
#include "operators/configerror.h"
#include "operators/foldermerge.h"
#include "operators/internal/applyfolder.h"
#include "operators/internal/invocation.h"
#include "operators/internal/printer.h"

#include <optional>

namespace clementinesill::operators {

namespace {

// Applies the folder when its files have changed. Retries after any error except invalid files.
class FolderWatcher {
public:
    explicit FolderWatcher(Invocation& invocation)
        : m_invocation(invocation)
    {
    }

    void poll()
    {
        try {
            auto files = readOperatorFolder(m_invocation.arguments()[0]);
            if (m_processedFiles == files)
                return;
            apply(files);
            m_processedFiles = std::move(files);
            m_lastError.clear();
        } catch (const Error& error) {
            report(error);
        }
    }

private:
    // Invalid files are reported and skipped until they change again; other errors are retried at the next poll.
    void apply(const std::vector<ConfigFile>& files)
    {
        try {
            print(applyFolder(m_invocation, files));
        } catch (const Error& error) {
            if (error.kind() != ErrorKind::InvalidConfiguration && error.kind() != ErrorKind::Unsupported)
                throw;
            report(error);
        }
    }

    void print(const ApplyResult& applied)
    {
        schema::ChangeResponse result;
        result.mutable_outcome()->set_code(schema::Outcome::CODE_OK);
        result.set_revision(applied.revision);
        result.set_version(applied.version);
        const auto* text = applied.changed ? "accepted: revision " : "already in force: revision ";
        m_invocation.printer().print(result, text + std::to_string(applied.revision));
    }

    // Reports a persistent error only once.
    void report(const Error& error)
    {
        if (m_lastError == error.what())
            return;
        m_lastError = error.what();
        m_invocation.printer().printError(error);
    }

    Invocation& m_invocation;
    std::optional<std::vector<ConfigFile>> m_processedFiles;
    std::string m_lastError;
};

} // namespace

void runWatch(Invocation& invocation)
{
    FolderWatcher watcher(invocation);
    const auto& environment = invocation.environment();
    watcher.poll();
    while (!environment.shouldStop()) {
        environment.sleep(invocation.options().interval);
        watcher.poll();
    }
}

} // namespace clementinesill::operators
