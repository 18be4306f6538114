#pragma once

#include "operators/schemareader.h"

#include <string>
#include <vector>

namespace clementinesill::operators {

// Binds addresses without serving them and holds them until it is destroyed.
class ListenTrial {
public:
    explicit ListenTrial(const SchemaReader& reader);
    ~ListenTrial();
    ListenTrial(const ListenTrial&) = delete;
    ListenTrial& operator=(const ListenTrial&) = delete;

    // Throws ConfigError (AddressInUse, or BadAddress if the machine does not have the address) at the key.
    void tcp(const std::string& key, const std::string& endpoint);
    void udp(const std::string& key, const std::string& endpoint);

private:
    void bindOnce(const std::string& key, const std::string& endpoint, int type);

    const SchemaReader& m_reader;
    std::vector<int> m_sockets;
};

} // namespace clementinesill::operators
