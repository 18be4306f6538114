#include "passthrough/internal/datagrambatch.h"

#include <CppUTest/TestHarness.h>
#include <unistd.h>

using namespace clementinesill::passthrough;

// clang-format off
TEST_GROUP(DatagramBatch)
{
    std::array<int, 2> sockets {};
    DatagramBatch batch;

    void setup() override { LONGS_EQUAL(0, socketpair(AF_UNIX, SOCK_DGRAM, 0, sockets.data())); }

    void teardown() override
    {
        for (const int socket : sockets)
            close(socket);
    }

    void sendDatagram(std::size_t bytes)
    {
        const std::vector<std::byte> datagram(bytes, std::byte(bytes));
        LONGS_EQUAL(bytes, send(sockets[0], datagram.data(), datagram.size(), 0));
    }
};
// clang-format on

// Guards against lengths of an earlier read that remain in the buffers.
TEST(DatagramBatch, ReadsWaitingDatagramsInOrderWithTheirLengths)
{
    CHECK(batch.receive(sockets[1]).empty());
    for (const auto& lengths : { std::vector<std::size_t> { 108, 32, 200 }, std::vector<std::size_t> { 32, 150 } }) {
        for (const auto length : lengths)
            sendDatagram(length);
        const auto datagrams = batch.receive(sockets[1]);
        LONGS_EQUAL(lengths.size(), datagrams.size());
        for (std::size_t index = 0; index < lengths.size(); ++index) {
            LONGS_EQUAL(lengths[index], datagrams[index].size());
            CHECK(datagrams[index].back() == std::byte(lengths[index]));
        }
    }
}
