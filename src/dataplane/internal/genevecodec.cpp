#include "dataplane/genevecodec.h"

#include "dataplane/internal/candidatefields.h"
#include "dataplane/internal/geneveheader.h"
#include "dataplane/internal/geneveoptionheader.h"
#include "dataplane/internal/holderfields.h"
#include "dataplane/internal/loadnoticefields.h"
#include "dataplane/internal/routefields.h"
#include "dataplane/types/genevemessage.h"

#include <algorithm>
#include <cstring>
#include <limits>

namespace clementinesill::dataplane {

namespace {

constexpr std::uint16_t ethernetTypeIpv4 = 0x0800;
constexpr std::uint16_t optionClass = 0xff10;
// Set in the type of an option that the receiver must not ignore.
constexpr std::uint8_t criticalBit = 0x80;
// The O and C bits of the Geneve header.
constexpr std::uint8_t controlFlag = 0x80;
constexpr std::uint8_t criticalFlag = 0x40;
constexpr std::size_t wordBytes = 4;
constexpr std::size_t maximumOptionsBytes = 252;
// The length field of an option has 5 bits and counts words.
constexpr std::size_t maximumOptionBodyBytes = 31 * wordBytes;

enum OptionType : std::uint8_t {
    RouteOption = 0x81,
    VisitedOption = 0x82,
    CandidatesOption = 0x83,
    HolderOption = 0x84,
    // Not critical: without it, the search ends without a reset.
    TraversalOption = 0x05,
    // Not critical: without it, the balancer places new flows as if it knew nothing about the servers' load.
    LoadNoticeOption = 0x06,
    // Not critical: without it, the balancer learns of a newer table from its controller only.
    TableNoticeOption = 0x07,
};

bool readRoute(std::span<const std::byte> body, GeneveMessage& message)
{
    if (body.size() != sizeof(RouteFields))
        return false;
    const auto& fields = *reinterpret_cast<const RouteFields*>(body.data());
    message.route = Route {
        .tableVersion = fields.tableVersion.value(),
        .serviceId = fields.serviceId.value(),
        .serverId = fields.serverId.value(),
        .incarnation = fields.incarnation.value(),
        .balancer = { .address = fields.balancerAddress.value(), .port = fields.balancerPort.value() },
        .ingress = { .address = fields.ingressAddress.value(), .port = fields.ingressPort.value() },
        .hops = std::max<std::uint16_t>(fields.cappedHops.value(), fields.hops.value()),
        .flags = fields.flags.value(),
    };
    return true;
}

bool readVisited(std::span<const std::byte> body, GeneveMessage& message)
{
    if (body.size() > maximumVisited * wordBytes)
        return false;
    message.visited.clear();
    for (std::size_t offset = 0; offset < body.size(); offset += wordBytes) {
        const auto& id = *reinterpret_cast<const boost::endian::big_uint32_buf_t*>(body.data() + offset);
        message.visited.push_back(id.value());
    }
    return true;
}

bool readCandidates(std::span<const std::byte> body, GeneveMessage& message)
{
    if (body.size() % sizeof(CandidateFields) || body.size() > maximumCandidates * sizeof(CandidateFields))
        return false;
    message.candidates.clear();
    for (std::size_t offset = 0; offset < body.size(); offset += sizeof(CandidateFields)) {
        const auto& fields = *reinterpret_cast<const CandidateFields*>(body.data() + offset);
        message.candidates.push_back({
            .serverId = fields.serverId.value(),
            .incarnation = fields.incarnation.value(),
            .agent = { .address = fields.agentAddress.value(), .port = fields.agentPort.value() },
            .draining = fields.state.value() == 1,
        });
    }
    return true;
}

bool readHolder(std::span<const std::byte> body, GeneveMessage& message)
{
    if (body.size() != sizeof(HolderFields))
        return false;
    const auto& fields = *reinterpret_cast<const HolderFields*>(body.data());
    message.holder = FlowHolder {
        .key = {
            .caller = { .address = fields.callerAddress.value(), .port = fields.callerPort.value() },
            .service = { .address = fields.serviceAddress.value(), .port = fields.servicePort.value() },
            .protocol = static_cast<fleet::TransportProtocol>(fields.protocol.value()),
        },
        .serverId = fields.serverId.value(),
        .incarnation = fields.incarnation.value(),
    };
    return true;
}

bool readTraversal(std::span<const std::byte> body, GeneveMessage& message)
{
    if (body.size() != wordBytes)
        return false;
    message.newestKnownServer = reinterpret_cast<const boost::endian::big_uint32_buf_t*>(body.data())->value();
    return true;
}

bool isLoadLevel(std::uint8_t value)
{
    return value == static_cast<std::uint8_t>(LoadLevel::Busy) || value == static_cast<std::uint8_t>(LoadLevel::Full);
}

// A notice that this version does not understand is ignored, so that it never costs the rest of its message.
void readLoadNotice(std::span<const std::byte> body, GeneveMessage& message)
{
    if (body.size() < sizeof(LoadNoticeFields) + wordBytes)
        return;
    const auto& fields = *reinterpret_cast<const LoadNoticeFields*>(body.data());
    if (!isLoadLevel(fields.level.value()))
        return;
    auto& notice = message.loadNotice.emplace();
    notice.level = static_cast<LoadLevel>(fields.level.value());
    notice.priority = fields.priority.value();
    notice.validity = std::chrono::milliseconds(fields.validityMs.value());
    for (std::size_t offset = sizeof(LoadNoticeFields); offset < body.size(); offset += wordBytes)
        notice.servers.push_back(reinterpret_cast<const boost::endian::big_uint32_buf_t*>(body.data() + offset)->value());
}

bool readTableNotice(std::span<const std::byte> body, GeneveMessage& message)
{
    if (body.size() != sizeof(boost::endian::big_uint64_buf_t))
        return false;
    message.newerTableVersion = reinterpret_cast<const boost::endian::big_uint64_buf_t*>(body.data())->value();
    return true;
}

PacketError readOption(const GeneveOptionHeader& header, std::span<const std::byte> body, GeneveMessage& message)
{
    const auto unknownOptionError = header.type.value() & criticalBit ? PacketError::UnknownCriticalOption : PacketError::None;
    if (header.optionClass.value() != optionClass)
        return unknownOptionError;
    bool hasValidLength = false;
    switch (header.type.value()) {
    case RouteOption:
        hasValidLength = readRoute(body, message);
        break;
    case VisitedOption:
        hasValidLength = readVisited(body, message);
        break;
    case CandidatesOption:
        hasValidLength = readCandidates(body, message);
        break;
    case HolderOption:
        hasValidLength = readHolder(body, message);
        break;
    case TraversalOption:
        hasValidLength = readTraversal(body, message);
        break;
    case LoadNoticeOption:
        readLoadNotice(body, message);
        hasValidLength = true;
        break;
    case TableNoticeOption:
        hasValidLength = readTableNotice(body, message);
        break;
    default:
        return unknownOptionError;
    }
    return hasValidLength ? PacketError::None : PacketError::BadOptionLength;
}

PacketError readOptions(std::span<const std::byte> options, GeneveMessage& message)
{
    while (!options.empty()) {
        if (options.size() < sizeof(GeneveOptionHeader))
            return PacketError::BadOptionLength;
        const auto& header = *reinterpret_cast<const GeneveOptionHeader*>(options.data());
        const std::size_t bodyBytes = (header.length.value() & 0x1f) * wordBytes;
        if (sizeof(GeneveOptionHeader) + bodyBytes > options.size())
            return PacketError::BadOptionLength;
        const auto error = readOption(header, options.subspan(sizeof(GeneveOptionHeader), bodyBytes), message);
        if (error != PacketError::None)
            return error;
        options = options.subspan(sizeof(GeneveOptionHeader) + bodyBytes);
    }
    return PacketError::None;
}

// Writes an option header at end, advances end past the option and returns the start of its body.
std::byte* appendOption(std::byte*& end, OptionType type, std::size_t bodyBytes)
{
    auto& header = *reinterpret_cast<GeneveOptionHeader*>(end);
    header.optionClass = optionClass;
    header.type = type;
    header.length = static_cast<std::uint8_t>(bodyBytes / wordBytes);
    auto* body = end + sizeof(GeneveOptionHeader);
    end = body + bodyBytes;
    return body;
}

void writeRoute(const Route& route, std::byte*& end)
{
    auto& fields = *reinterpret_cast<RouteFields*>(appendOption(end, RouteOption, sizeof(RouteFields)));
    fields.tableVersion = route.tableVersion;
    fields.serviceId = route.serviceId;
    fields.serverId = route.serverId;
    fields.incarnation = route.incarnation;
    fields.balancerAddress = route.balancer.address;
    fields.ingressAddress = route.ingress.address;
    fields.balancerPort = route.balancer.port;
    fields.ingressPort = route.ingress.port;
    fields.cappedHops = static_cast<std::uint8_t>(std::min<std::uint16_t>(route.hops, std::numeric_limits<std::uint8_t>::max()));
    fields.flags = route.flags;
    fields.hops = route.hops;
}

void writeHolder(const FlowHolder& holder, std::byte*& end)
{
    auto& fields = *reinterpret_cast<HolderFields*>(appendOption(end, HolderOption, sizeof(HolderFields)));
    fields.callerAddress = holder.key.caller.address;
    fields.serviceAddress = holder.key.service.address;
    fields.callerPort = holder.key.caller.port;
    fields.servicePort = holder.key.service.port;
    fields.protocol = static_cast<std::uint8_t>(holder.key.protocol);
    fields.reserved = 0U;
    fields.serverId = holder.serverId;
    fields.incarnation = holder.incarnation;
}

void writeTraversal(std::uint32_t newestKnownServer, std::byte*& end)
{
    *reinterpret_cast<boost::endian::big_uint32_buf_t*>(appendOption(end, TraversalOption, wordBytes)) = newestKnownServer;
}

// Writes as many server ids as fit into the option, and nothing for a notice without servers.
void writeLoadNotice(const LoadNotice& notice, std::byte*& end)
{
    constexpr auto maximumServers = (maximumOptionBodyBytes - sizeof(LoadNoticeFields)) / wordBytes;
    const auto count = std::min(notice.servers.size(), maximumServers);
    if (!count)
        return;
    auto* body = appendOption(end, LoadNoticeOption, sizeof(LoadNoticeFields) + count * wordBytes);
    auto& fields = *reinterpret_cast<LoadNoticeFields*>(body);
    constexpr std::chrono::milliseconds::rep maximumValidityMs = std::numeric_limits<std::uint16_t>::max();
    fields.level = static_cast<std::uint8_t>(notice.level);
    fields.reserved = std::uint8_t(0);
    fields.validityMs = static_cast<std::uint16_t>(std::clamp<std::chrono::milliseconds::rep>(notice.validity.count(), 0, maximumValidityMs));
    fields.priority = notice.priority;
    body += sizeof(LoadNoticeFields);
    for (const auto id : std::span(notice.servers).first(count)) {
        *reinterpret_cast<boost::endian::big_uint32_buf_t*>(body) = id;
        body += wordBytes;
    }
}

// Number of entries, at most count, that fit into the free bytes together with their option header.
std::size_t fittingEntries(std::size_t count, std::size_t entryBytes, std::size_t freeBytes)
{
    if (freeBytes < sizeof(GeneveOptionHeader) + entryBytes)
        return 0;
    return std::min(count, (freeBytes - sizeof(GeneveOptionHeader)) / entryBytes);
}

void writeVisited(std::span<const std::uint32_t> visited, std::byte*& end)
{
    auto* body = appendOption(end, VisitedOption, visited.size() * wordBytes);
    for (const auto id : visited) {
        *reinterpret_cast<boost::endian::big_uint32_buf_t*>(body) = id;
        body += wordBytes;
    }
}

void writeCandidates(std::span<const Candidate> candidates, std::byte*& end)
{
    auto* body = appendOption(end, CandidatesOption, candidates.size() * sizeof(CandidateFields));
    for (const auto& candidate : candidates) {
        auto& fields = *reinterpret_cast<CandidateFields*>(body);
        fields.serverId = candidate.serverId;
        fields.incarnation = candidate.incarnation;
        fields.agentAddress = candidate.agent.address;
        fields.agentPort = candidate.agent.port;
        fields.state = static_cast<std::uint16_t>(candidate.draining);
        body += sizeof(CandidateFields);
    }
}

} // namespace

PacketError decodeGeneve(std::span<const std::byte> datagram, GeneveMessage& message)
{
    if (datagram.size() < sizeof(GeneveHeader))
        return PacketError::TooShort;
    const auto& header = *reinterpret_cast<const GeneveHeader*>(datagram.data());
    if (header.versionAndLength.value() >> 6)
        return PacketError::BadGeneveVersion;
    if (header.protocol.value() != ethernetTypeIpv4)
        return PacketError::NotGeneve;
    const std::size_t optionsBytes = (header.versionAndLength.value() & 0x3f) * wordBytes;
    if (sizeof(GeneveHeader) + optionsBytes > datagram.size())
        return PacketError::BadOptionLength;
    message.serviceId = header.networkId.value();
    message.control = header.flags.value() & controlFlag;
    message.route.reset();
    message.visited.clear();
    message.candidates.clear();
    message.holder.reset();
    message.newestKnownServer.reset();
    message.loadNotice.reset();
    message.newerTableVersion.reset();
    message.payload = datagram.subspan(sizeof(GeneveHeader) + optionsBytes);
    return readOptions(datagram.subspan(sizeof(GeneveHeader), optionsBytes), message);
}

void writeTableNotice(std::uint64_t version, std::byte*& end)
{
    auto& field = *reinterpret_cast<boost::endian::big_uint64_buf_t*>(appendOption(end, TableNoticeOption, sizeof(boost::endian::big_uint64_buf_t)));
    field = version;
}

std::size_t encodeGeneveHeader(const GeneveMessage& message, std::span<std::byte> out)
{
    auto* const options = out.data() + sizeof(GeneveHeader);
    auto* end = options;
    if (message.route)
        writeRoute(*message.route, end);
    if (message.holder)
        writeHolder(*message.holder, end);
    if (message.newestKnownServer)
        writeTraversal(*message.newestKnownServer, end);
    if (message.loadNotice)
        writeLoadNotice(*message.loadNotice, end);
    if (message.newerTableVersion)
        writeTableNotice(*message.newerTableVersion, end);
    const auto freeBytes = [&] { return maximumOptionsBytes - static_cast<std::size_t>(end - options); };
    if (const auto count = fittingEntries(message.visited.size(), wordBytes, freeBytes()))
        writeVisited(std::span(message.visited).first(count), end);
    if (const auto count = fittingEntries(message.candidates.size(), sizeof(CandidateFields), freeBytes()))
        writeCandidates(std::span(message.candidates).first(count), end);
    const auto optionsBytes = static_cast<std::size_t>(end - options);
    auto& header = *reinterpret_cast<GeneveHeader*>(out.data());
    header.versionAndLength = static_cast<std::uint8_t>(optionsBytes / wordBytes);
    const bool hasCriticalOption = message.route || message.holder || !message.visited.empty() || !message.candidates.empty();
    header.flags = static_cast<std::uint8_t>((message.control ? controlFlag : 0) | (hasCriticalOption ? criticalFlag : 0));
    header.protocol = ethernetTypeIpv4;
    header.networkId = message.serviceId;
    header.reserved = std::uint8_t(0);
    return sizeof(GeneveHeader) + optionsBytes;
}

} // namespace clementinesill::dataplane
