#include "dataplane/packetparser.h"

#include "dataplane/tests/fixtures.h"
#include "foundation/seededrandom.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <rapidcheck.h>
#include <set>
#include <tins/tins.h>

using namespace clementinesill;
using namespace clementinesill::dataplane;
using namespace clementinesill::dataplane::fixtures;

namespace {

Tins::IPv4Address randomAddress(IRandom& random) { return Tins::IPv4Address(static_cast<std::uint32_t>(random.next())); }

// A TCP or UDP packet serialized by libtins, with or without options and payload.
std::vector<std::byte> randomPacketBytes(IRandom& random)
{
    const auto port = [&] { return static_cast<std::uint16_t>(random.next()); };
    Tins::IP ip(randomAddress(random), randomAddress(random));
    if (random.below(2))
        ip.stream_identifier(5);
    if (random.below(2))
        ip.record_route({ 4, { Tins::IPv4Address(), Tins::IPv4Address() } });
    const Tins::RawPDU payload(std::string(random.below(100), 'x'));
    if (random.below(2)) {
        Tins::TCP tcp(port(), port());
        tcp.flags(static_cast<std::uint16_t>(random.below(256)));
        tcp.seq(static_cast<std::uint32_t>(random.next()));
        tcp.ack_seq(static_cast<std::uint32_t>(random.next()));
        if (random.below(2))
            tcp.mss(1460);
        if (random.below(2))
            tcp.timestamp(1, 2);
        ip /= tcp;
    } else {
        ip /= Tins::UDP(port(), port());
    }
    if (random.below(4))
        ip /= payload;
    const auto serialized = ip.serialize();
    std::vector<std::byte> bytes(serialized.size());
    std::transform(serialized.begin(), serialized.end(), bytes.begin(), [](auto byte) { return std::byte { byte }; });
    return bytes;
}

Tins::IP parseWithLibtins(std::span<const std::byte> bytes)
{
    return Tins::IP(reinterpret_cast<const std::uint8_t*>(bytes.data()), static_cast<std::uint32_t>(bytes.size()));
}

std::uint32_t hostOrder(const Tins::IPv4Address& address) { return parseAddress(address.to_string()); }

} // namespace

// clang-format off
TEST_GROUP(PacketParser)
{
    PacketView packet;
    GuardedBuffer buffer;
    std::vector<std::byte> tcpPacket;

    void setup() override
    {
        Tins::IP ip = Tins::IP("10.0.0.1", "10.1.0.1") / Tins::TCP(80, 4000) / Tins::RawPDU("data");
        const auto serialized = ip.serialize();
        const auto* const start = reinterpret_cast<const std::byte*>(serialized.data());
        tcpPacket.assign(start, start + serialized.size());
    }

    // Parses the TCP packet with one byte changed.
    PacketError parseModified(std::size_t index, unsigned char value)
    {
        auto bytes = tcpPacket;
        bytes[index] = std::byte { value };
        return parsePacket(buffer.copyToEnd(bytes), packet);
    }
};
// clang-format on

TEST(PacketParser, MatchesLibtins)
{
    CHECK(rc::check("valid packets", [](std::uint64_t seed) {
        SeededRandom random(seed);
        GuardedBuffer buffer;
        for (int count = 0; count < 20; ++count) {
            auto bytes = randomPacketBytes(random);
            const auto packetBytes = bytes.size();
            PacketView packet;
            // Bytes after the packet, such as Ethernet padding, are not part of it.
            bytes.resize(bytes.size() + random.below(2) * 7);
            RC_ASSERT(parsePacket(buffer.copyToEnd(bytes), packet) == PacketError::None);
            auto expected = parseWithLibtins(std::span(bytes).first(packetBytes));
            RC_ASSERT(packet.bytes.size() == packetBytes);
            RC_ASSERT(packet.key.caller.address == hostOrder(expected.src_addr()) && packet.key.service.address == hostOrder(expected.dst_addr()));
            const auto* raw = expected.find_pdu<Tins::RawPDU>();
            RC_ASSERT(packet.payloadBytes == (raw ? raw->payload_size() : 0));
            if (const auto* tcp = expected.find_pdu<Tins::TCP>()) {
                RC_ASSERT(packet.key.protocol == fleet::TransportProtocol::Tcp);
                RC_ASSERT(packet.key.caller.port == tcp->sport() && packet.key.service.port == tcp->dport());
                RC_ASSERT(packet.tcpFlags == (tcp->flags() & 0xff) && packet.sequence == tcp->seq() && packet.acknowledgement == tcp->ack_seq());
                continue;
            }
            const auto& udp = expected.rfind_pdu<Tins::UDP>();
            RC_ASSERT(packet.key.protocol == fleet::TransportProtocol::Udp && packet.tcpFlags == 0);
            RC_ASSERT(packet.key.caller.port == udp.sport() && packet.key.service.port == udp.dport());
        }
    }));
}

// Parses 100,000 packets. Half are random bytes; half are valid, with a few bytes changed and possibly truncated.
TEST(PacketParser, RejectsMalformedPacketsWithoutReadingPastEnd)
{
    std::set<PacketError> errors;
    CHECK(rc::check("malformed packets", [&](std::uint64_t seed) {
        SeededRandom random(seed);
        GuardedBuffer guarded;
        for (int count = 0; count < 1000; ++count) {
            std::vector<std::byte> bytes(random.below(80));
            std::generate(bytes.begin(), bytes.end(), [&] { return static_cast<std::byte>(random.next()); });
            if (random.below(2)) {
                bytes = randomPacketBytes(random);
                for (auto changes = random.below(4); changes; --changes)
                    bytes[random.below(std::min<std::size_t>(bytes.size(), 40))] = static_cast<std::byte>(random.next());
                bytes.resize(bytes.size() - random.below(2) * random.below(bytes.size()));
            }
            PacketView view;
            const auto error = parsePacket(guarded.copyToEnd(bytes), view);
            errors.insert(error);
            RC_ASSERT(name(error) != "unknown");
            if (error == PacketError::None)
                RC_ASSERT(view.bytes.size() <= bytes.size() && view.payloadBytes <= bytes.size());
        }
    }));
    for (const auto error : { PacketError::None, PacketError::TooShort, PacketError::NotIpv4, PacketError::BadIpHeader, PacketError::Fragment, PacketError::UnknownProtocol, PacketError::BadTransportHeader })
        CHECK_TEXT(errors.contains(error), std::string(name(error)).c_str());
}

TEST(PacketParser, RejectsInvalidDataOffset)
{
    constexpr std::size_t dataOffset = 20 + 12;
    CHECK(parseModified(dataOffset, 0x50) == PacketError::None);
    CHECK(parseModified(dataOffset, 0x40) == PacketError::BadTransportHeader);
    CHECK(parseModified(dataOffset, 0x60) == PacketError::None);
    CHECK(parseModified(dataOffset, 0x70) == PacketError::BadTransportHeader);
    CHECK(parseModified(dataOffset, 0xf0) == PacketError::BadTransportHeader);
}

TEST(PacketParser, RejectsInvalidIpHeaders)
{
    CHECK(parsePacket(buffer.copyToEnd(std::span(tcpPacket).first(19)), packet) == PacketError::TooShort);
    CHECK(parseModified(0, 0x65) == PacketError::NotIpv4);
    CHECK(parseModified(0, 0x44) == PacketError::BadIpHeader);
    CHECK(parseModified(0, 0x4f) == PacketError::BadIpHeader);
    CHECK(parseModified(3, 19) == PacketError::BadIpHeader);
    CHECK(parseModified(3, 255) == PacketError::BadIpHeader);
    CHECK(parseModified(6, 0x20) == PacketError::Fragment);
    CHECK(parseModified(7, 0x01) == PacketError::Fragment);
    CHECK(parseModified(6, 0x40) == PacketError::None);
    CHECK(parseModified(9, 1) == PacketError::UnknownProtocol);
    // As UDP: the bytes of the TCP sequence number become an invalid length.
    CHECK(parseModified(9, 17) == PacketError::BadTransportHeader);
}
