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
        message.route = Route { .tableVersion = random.next(), .serviceId = number(), .serverId = number(), .incarnation = number(), .balancer = randomEndpoint(random), .ingress = randomEndpoint(random), .hops = static_cast<std::uint16_t>(random.below(1 << random.below(17))), .flags = 5 };
    if (!random.below(4))
        message.holder = FlowHolder { .key = { .caller = randomEndpoint(random), .service = randomEndpoint(random), .protocol = fleet::TransportProtocol::Udp }, .serverId = number(), .incarnation = number() };
    if (!random.below(4))
        message.newestKnownServer = number();
    if (!random.below(4)) {
        message.loadNotice = LoadNotice { .level = random.below(2) ? LoadLevel::Busy : LoadLevel::Full, .priority = number(), .validity = std::chrono::milliseconds(random.below(1 << 16)), .servers = {} };
        for (auto servers = 1 + random.below(8); servers; --servers)
            message.loadNotice->servers.push_back(number());
    }
    if (!random.below(4))
        message.newerTableVersion = random.next();
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
    return decodeGeneve(buffer.copyToEnd(bytes), message);
}

} // namespace

// clang-format off
TEST_GROUP(GeneveCodec) {};
// clang-format on

TEST(GeneveCodec, RoundTripsMessages)
{
    CHECK(rc::check("round trip", [](std::uint64_t seed) {
        SeededRandom random(seed);
        const auto message = randomMessage(random, random.below(12), random.below(4));
        auto bytes = encode(message);
        bytes.resize(bytes.size() + random.below(64), std::byte { 9 });
        GeneveMessage decoded;
        RC_ASSERT(decodeGeneve(bytes, decoded) == PacketError::None);
        RC_ASSERT(decoded.serviceId == message.serviceId && decoded.control == message.control);
        RC_ASSERT(decoded.route == message.route && decoded.holder == message.holder);
        RC_ASSERT(decoded.newestKnownServer == message.newestKnownServer && decoded.loadNotice == message.loadNotice && decoded.newerTableVersion == message.newerTableVersion);
        RC_ASSERT(decoded.visited == message.visited && decoded.candidates == message.candidates);
        RC_ASSERT(std::all_of(decoded.payload.begin(), decoded.payload.end(), [](auto byte) { return byte == std::byte { 9 }; }));
    }));
}

TEST(GeneveCodec, LeavesOutCandidatesThatDoNotFit)
{
    SeededRandom random(1);
    for (std::size_t visited = 0; visited <= maximumVisited; ++visited) {
        for (std::size_t candidates = 0; candidates <= maximumCandidates; ++candidates) {
            const auto message = randomMessage(random, visited, candidates);
            const auto bytes = encode(message);
            GeneveMessage decoded;
            CHECK(bytes.size() <= maximumGeneveHeaderBytes);
            CHECK(decodeGeneve(bytes, decoded) == PacketError::None);
            CHECK(decoded.route == message.route && decoded.holder == message.holder);
            CHECK(decoded.visited == message.visited);
            CHECK(std::equal(decoded.candidates.begin(), decoded.candidates.end(), message.candidates.begin()));
        }
    }
}

// Decodes 100,000 datagrams. Half are random bytes; half are valid, with a few bytes changed and possibly truncated.
TEST(GeneveCodec, RejectsMalformedDatagramsWithoutReadingPastEnd)
{
    std::set<PacketError> errors;
    CHECK(rc::check("malformed datagrams", [&](std::uint64_t seed) {
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
            const auto datagram = buffer.copyToEnd(bytes);
            GeneveMessage message;
            const auto error = decodeGeneve(datagram, message);
            errors.insert(error);
            RC_ASSERT(name(error) != "unknown");
            if (error == PacketError::None)
                RC_ASSERT(message.payload.data() + message.payload.size() == datagram.data() + datagram.size());
        }
    }));
    for (const auto error : { PacketError::None, PacketError::TooShort, PacketError::NotGeneve, PacketError::BadGeneveVersion, PacketError::BadOptionLength, PacketError::UnknownCriticalOption })
        CHECK_TEXT(errors.contains(error), std::string(name(error)).c_str());
}

TEST(GeneveCodec, RejectsInvalidOptionLengthsAndUnknownCriticalOptions)
{
    constexpr std::array<unsigned char, 8> header { 0, 0, 8, 0, 0, 0, 1, 0 };
    const auto decodeWithOption = [&](unsigned char type, unsigned char length, std::size_t bodyBytes) {
        std::vector<std::byte> bytes;
        for (const auto byte : header)
            bytes.push_back(std::byte { byte });
        bytes[0] = static_cast<std::byte>(1 + bodyBytes / 4);
        for (const auto byte : { static_cast<unsigned char>(0xff), static_cast<unsigned char>(0x10), type, length })
            bytes.push_back(std::byte { byte });
        bytes.resize(bytes.size() + bodyBytes);
        return decodeError(bytes);
    };
    CHECK(decodeWithOption(0x81, 9, 36) == PacketError::None);
    CHECK(decodeWithOption(0x81, 8, 32) == PacketError::BadOptionLength);
    CHECK(decodeWithOption(0x81, 9, 32) == PacketError::BadOptionLength);
    CHECK(decodeWithOption(0x82, 31, 124) == PacketError::BadOptionLength);
    CHECK(decodeWithOption(0x83, 3, 12) == PacketError::BadOptionLength);
    CHECK(decodeWithOption(0x84, 5, 20) == PacketError::BadOptionLength);
    CHECK(decodeWithOption(0x85, 1, 4) == PacketError::UnknownCriticalOption);
    CHECK(decodeWithOption(0x05, 1, 4) == PacketError::None);
}

// Guards against a longer list than the option's length field can express.
TEST(GeneveCodec, LeavesOutServersThatDoNotFitIntoLoadNotice)
{
    GeneveMessage message;
    message.control = true;
    message.loadNotice = LoadNotice { .level = LoadLevel::Full, .priority = 1, .validity = std::chrono::hours(1), .servers = {} };
    CHECK_EQUAL(8U, encode(message).size());
    for (std::uint32_t id = 1; id <= maximumNoticeServers; ++id)
        message.loadNotice->servers.push_back(id);
    GeneveMessage decoded;
    const auto bytes = encode(message);
    CHECK(decodeGeneve(bytes, decoded) == PacketError::None);
    CHECK(decoded.control && decoded.loadNotice);
    LONGS_EQUAL(29, decoded.loadNotice->servers.size());
    LONGS_EQUAL(29, decoded.loadNotice->servers.back());
    LONGS_EQUAL(65535, decoded.loadNotice->validity.count());
}

// Guards against a notice of a later version, or a damaged one, that costs the message it travels in.
TEST(GeneveCodec, IgnoresMalformedLoadNoticeInValidMessage)
{
    CHECK(rc::check("the rest of the message is decoded", [](std::uint64_t seed) {
        SeededRandom random(seed);
        auto message = randomMessage(random, random.below(4), 0);
        message.loadNotice.reset();
        auto bytes = encode(message);
        const auto words = random.below(32);
        const auto optionAt = bytes.size();
        bytes[0] = static_cast<std::byte>(static_cast<unsigned>(bytes[0]) + 1 + words);
        for (const unsigned value : { 0xffU, 0x10U, 0x06U, static_cast<unsigned>(words) })
            bytes.push_back(static_cast<std::byte>(value));
        for (std::size_t count = 0; count < words * 4; ++count)
            bytes.push_back(static_cast<std::byte>(random.next()));
        const bool valid = words >= 3 && (bytes[optionAt + 4] == std::byte { 1 } || bytes[optionAt + 4] == std::byte { 2 });
        GeneveMessage decoded;
        RC_ASSERT(decodeGeneve(bytes, decoded) == PacketError::None);
        RC_ASSERT(decoded.route == message.route && decoded.holder == message.holder && decoded.visited == message.visited);
        RC_ASSERT(decoded.loadNotice.has_value() == valid);
    }));
}
