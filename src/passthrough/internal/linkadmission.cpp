#include "passthrough/linkadmission.h"

#include "fleet/types/serverentry.h"
#include "passthrough/types/entrypacket.h"

namespace clementinesill::passthrough {

namespace {

EntryClass classOf(const EntryDecision& decision, const FlowPacket& packet)
{
    if (decision.action == EntryAction::Reset)
        return EntryClass::Reset;
    if (!packet.opensFlow())
        return EntryClass::OpenFlow;
    return packet.synRetransmissions() ? EntryClass::RetransmittedOpening : EntryClass::Opening;
}

} // namespace

LinkAdmission::LinkAdmission(const LinkAdmissionOptions& options, const IClock& clock, MetricsRegistry& metrics)
    : m_options(options)
    , m_budget(options.link, clock)
{
    metrics.describe("entry_link_datagrams_total", "datagrams sent by a balancer, by class");
    metrics.describe("entry_link_bytes_total", "bytes sent by a balancer with what the link adds to each datagram, by class");
    metrics.describe("entry_link_refused_total", "datagrams for which the entry link had no budget, by class");
    for (std::size_t index = 0; index < m_counters.size(); ++index) {
        const Labels labels { { "class", std::string(name(static_cast<EntryClass>(index))) } };
        m_counters[index] = {
            .sent = &metrics.counter("entry_link_datagrams_total", labels),
            .bytes = &metrics.counter("entry_link_bytes_total", labels),
            .refused = &metrics.counter("entry_link_refused_total", labels),
        };
    }
}

EntryDecision LinkAdmission::admit(const EntryDecision& decision, const EntryPacket& entry)
{
    if (decision.action == EntryAction::Drop)
        return decision;
    const auto entryClass = classOf(decision, entry.packet);
    const auto bytes = entryClass == EntryClass::Reset ? m_options.resetBytes : m_options.forwardHeaderBytes + entry.bytes.size();
    const auto serviceId = decision.server ? decision.server->serviceId : 0;
    if (count(entryClass, bytes, entryClass == EntryClass::Opening ? m_budget.takeOpening(serviceId, entry.priority, bytes) : m_budget.take(entryClass, bytes)))
        return decision;
    if (entryClass == EntryClass::Opening)
        return reject(EntryReason::NoLinkBudget, entry);
    return { .action = EntryAction::Drop, .reason = EntryReason::NoLinkBudget };
}

EntryDecision LinkAdmission::reject(EntryReason reason, const EntryPacket& entry)
{
    if (entry.packet.synRetransmissions())
        return { .action = EntryAction::Drop, .reason = reason };
    count(EntryClass::Reset, m_options.resetBytes, m_budget.take(EntryClass::Reset, m_options.resetBytes));
    return { .action = EntryAction::Reset, .reason = reason };
}

bool LinkAdmission::count(EntryClass entryClass, std::size_t datagramBytes, bool taken)
{
    auto& counters = m_counters.at(static_cast<std::size_t>(entryClass));
    if (!taken) {
        ++*counters.refused;
        return false;
    }
    ++*counters.sent;
    *counters.bytes += datagramBytes + m_options.link.datagramOverheadBytes;
    return true;
}

} // namespace clementinesill::passthrough
