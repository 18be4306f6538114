#pragma once

#include <memory>
#include <string>

namespace clementinesill::admin {

class AdminPages;

// Serves the admin pages over HTTP on its own thread until it is destroyed.
class AdminServer {
public:
    // Throws Error (AddressInUse) if the endpoint cannot be served. The pages must outlive the server.
    AdminServer(const std::string& endpoint, const AdminPages& pages);
    ~AdminServer();

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace clementinesill::admin
