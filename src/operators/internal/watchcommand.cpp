#include "operators/internal/watchcommand.h"

#include "control.pb.h"
#include "operators/configerror.h"
#include "operators/foldermerge.h"
#include "operators/internal/folderchange.h"
#include "operators/internal/invocation.h"
#include "operators/internal/printer.h"

#include <optional>

namespace clementinesill::operators {

namespace {

// Brings one state of the folder into force, over as many rounds as it takes.
class FolderWatch {
public:
    explicit FolderWatch(Invocation& invocation)
        : m_invocation(invocation)
    {
    }

    void look()
    {
        try {
            auto files = readOperatorFolder(m_invocation.arguments()[0]);
            if (m_settled == files)
                return;
            apply(files);
            m_settled = std::move(files);
            m_lastProblem.clear();
        } catch (const Error& error) {
            report(error);
        }
    }

private:
    // A refused state is settled: only another change of the files can mend it. Others are tried again.
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

    void print(const FolderChange& change)
    {
        schema::ChangeResponse result;
        result.mutable_outcome()->set_code(schema::Outcome::CODE_OK);
        result.set_revision(change.revision);
        result.set_version(change.version);
        const auto* text = change.changed ? "accepted: revision " : "already in force: revision ";
        m_invocation.printer().print(result, text + std::to_string(change.revision));
    }

    // A failure that lasts is told once.
    void report(const Error& error)
    {
        if (m_lastProblem == error.what())
            return;
        m_lastProblem = error.what();
        m_invocation.printer().fail(error);
    }

    Invocation& m_invocation;
    std::optional<std::vector<ConfigFile>> m_settled;
    std::string m_lastProblem;
};

} // namespace

void runWatch(Invocation& invocation)
{
    FolderWatch watch(invocation);
    const auto& environment = invocation.environment();
    watch.look();
    while (!environment.stopped()) {
        environment.pause(invocation.options().interval);
        watch.look();
    }
}

} // namespace clementinesill::operators
