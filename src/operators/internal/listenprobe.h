#pragma once

#include "operators/schemareader.h"

#include <string>
#include <vector>

namespace clementinesill::operators {

// Checks that addresses can be listened on by binding them. Keeps them bound until it is destroyed, so that an address set
// for two keys is detected.
class ListenProbe {
public:
    explicit ListenProbe(const SchemaReader& reader);
    ~ListenProbe();
    ListenProbe(const ListenProbe&) = delete;
    ListenProbe& operator=(const ListenProbe&) = delete;

    // Throws ConfigError at the key: AddressInUse, or BadAddress if the local machine does not have the address.
    void tcp(const std::string& key, const std::string& endpoint);
    void udp(const std::string& key, const std::string& endpoint);

private:
    void bindSocket(const std::string& key, const std::string& endpoint, int type);

    const SchemaReader& m_reader;
    std::vector<int> m_sockets;
};

} // namespace clementinesill::operators
