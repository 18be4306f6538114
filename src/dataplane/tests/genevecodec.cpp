#include "dataplane/genevecodec.h"

#include "dataplane/tests/fixtures.h"
#include "dataplane/types/genevemessage.h"
#include "foundation/seededrandom.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <array>
#include <rapidcheck.h>
#include <set>

using namespace clementinesill;
using namespace clementinesill::dataplane;
using namespace clementinesill::dataplane::fixtures;

namespace {

Endpoint randomEndpoint(IRandom& random)
{
    return { .address = static_cast<std::uint32_t>(random.next()), .port = static_cast<std::uint16_t>(random.next()) };
}

GeneveMessage randomMessage(IRandom& random, std::size_t visited, std::size_t candidates)
{
    const auto number = [&] { return static_cast<std::uint32_t>(random.next()); };
    GeneveMessage message;
    message.serviceId = number() & 0xffffff;
    message.control = random.below(2);
    if (random.below(4))
        message.route = Route { .tableVersion = random.next(), .serviceId = number(), .serverId = number(), .incarnation = number(), .balancer = randomEndpoint(random), .ingress = randomEndpoint(random), .hops = 3, .flags = 5 };
    if (!random.below(4))
        message.holder = Holder { .key = { .caller = randomEndpoint(random), .service = randomEndpoint(random), .protocol = fleet::TransportProtocol::Udp }, .serverId = number(), .incarnation = number() };
    while (message.visited.size() < visited)
        message.visited.push_back(number());
    while (message.candidates.size() < candidates)
        message.candidates.push_back({ .serverId = number(), .incarnation = number(), .agent = randomEndpoint(random), .draining = random.below(2) != 0 });
    return message;
}

std::vector<std::byte> encode(const GeneveMessage& message)
{
    std::vector<std::byte> bytes(maximumGeneveHeaderBytes);
    bytes.resize(encodeGeneveHeader(message, bytes));
    return bytes;
}

PacketError decodeError(std::vector<std::byte> bytes)
{
    GuardedBuffer buffer;
    GeneveMessage message;
    return decodeGeneve(buffer.hold(bytes), message);
}

} // namespace

// clang-format off
TEST_GROUP(GeneveCodec) {};
// clang-format on

TEST(GeneveCodec, ReadsWhatItWrote)
{
    CHECK(rc::check("round trip", [](std::uint64_t seed) {
        SeededRandom random(seed);
        const auto message = randomMessage(random, random.below(12), random.below(4));
        auto bytes = encode(message);
        bytes.resize(bytes.size() + random.below(64), std::byte { 9 });
        GeneveMessage read;
        RC_ASSERT(decodeGeneve(bytes, read) == PacketError::None);
        RC_ASSERT(read.serviceId == message.serviceId && read.control == message.control);
        RC_ASSERT(read.route == message.route && read.holder == message.holder);
        RC_ASSERT(read.visited == message.visited && read.candidates == message.candidates);
        RC_ASSERT(std::all_of(read.payload.begin(), read.payload.end(), [](auto byte) { return byte == std::byte { 9 }; }));
    }));
}

TEST(GeneveCodec, CutsWhatDoesNotFit)
{
    SeededRandom random(1);
    for (std::size_t visited = 0; visited <= maximumVisited; ++visited) {
        for (std::size_t candidates = 0; candidates <= maximumCandidates; ++candidates) {
            const auto message = randomMessage(random, visited, candidates);
            const auto bytes = encode(message);
            GeneveMessage read;
            CHECK(bytes.size() <= maximumGeneveHeaderBytes);
            CHECK(decodeGeneve(bytes, read) == PacketError::None);
            CHECK(read.route == message.route && read.holder == message.holder);
            CHECK(read.visited == message.visited);
            CHECK(std::equal(read.candidates.begin(), read.candidates.end(), message.candidates.begin()));
        }
    }
}

// 100,000 datagrams: half random, half valid ones with a few bytes changed and the end cut off.
TEST(GeneveCodec, RefusesGarbageWithoutReadingPastIt)
{
    std::set<PacketError> seen;
    CHECK(rc::check("garbage", [&](std::uint64_t seed) {
        GuardedBuffer buffer;
        SeededRandom random(seed);
        for (int count = 0; count < 1000; ++count) {
            std::vector<std::byte> bytes;
            if (random.below(2)) {
                bytes = encode(randomMessage(random, random.below(20), random.below(5)));
                for (auto changes = random.below(4); changes; --changes)
                    bytes[random.below(bytes.size())] = static_cast<std::byte>(random.next());
                bytes.resize(bytes.size() - random.below(3) * random.below(bytes.size() / 2));
            } else {
                bytes.resize(random.below(300));
                std::generate(bytes.begin(), bytes.end(), [&] { return static_cast<std::byte>(random.next()); });
            }
            const auto held = buffer.hold(bytes);
            GeneveMessage message;
            const auto error = decodeGeneve(held, message);
            seen.insert(error);
            RC_ASSERT(name(error) != "unknown");
            if (error == PacketError::None)
                RC_ASSERT(message.payload.data() + message.payload.size() == held.data() + held.size());
        }
    }));
    for (const auto error : { PacketError::None, PacketError::TooShort, PacketError::NotGeneve, PacketError::BadGeneveVersion, PacketError::BadOptionLength, PacketError::UnknownCriticalOption })
        CHECK_TEXT(seen.contains(error), std::string(name(error)).c_str());
}

TEST(GeneveCodec, RefusesEachKindOfWrongLength)
{
    constexpr std::array<unsigned char, 8> header { 0, 0, 8, 0, 0, 0, 1, 0 };
    const auto withOption = [&](unsigned char type, unsigned char length, std::size_t bodyBytes) {
        std::vector<std::byte> bytes;
        for (const auto byte : header)
            bytes.push_back(std::byte { byte });
        bytes[0] = static_cast<std::byte>(1 + bodyBytes / 4);
        for (const auto byte : { static_cast<unsigned char>(0xff), static_cast<unsigned char>(0x10), type, length })
            bytes.push_back(std::byte { byte });
        bytes.resize(bytes.size() + bodyBytes);
        return decodeError(bytes);
    };
    CHECK(withOption(0x81, 9, 36) == PacketError::None);
    CHECK(withOption(0x81, 8, 32) == PacketError::BadOptionLength);
    CHECK(withOption(0x81, 9, 32) == PacketError::BadOptionLength);
    CHECK(withOption(0x82, 31, 124) == PacketError::BadOptionLength);
    CHECK(withOption(0x83, 3, 12) == PacketError::BadOptionLength);
    CHECK(withOption(0x84, 5, 20) == PacketError::BadOptionLength);
    CHECK(withOption(0x85, 1, 4) == PacketError::UnknownCriticalOption);
    CHECK(withOption(0x05, 1, 4) == PacketError::None);
}
