#include "admin/adminserver.h"

#include "admin/adminpages.h"
#include "admin/querystring.h"
#include "foundation/error.h"
#include "foundation/log.h"

#include <pistache/endpoint.h>
#include <pistache/http.h>

namespace clementinesill::admin {

namespace {

// Requests to the admin pages consist of a short query.
constexpr std::size_t maximumRequestBytes = 8 << 10;
constexpr std::size_t maximumResponseBytes = 16 << 20;

QueryParameters decodedParameters(const Pistache::Http::Request& request)
{
    QueryParameters parameters;
    const auto& query = request.query();
    for (auto parameter = query.parameters_begin(); parameter != query.parameters_end(); ++parameter)
        parameters[percentDecode(parameter->first)] = percentDecode(parameter->second);
    return parameters;
}

class Handler final : public Pistache::Http::Handler {
public:
    HTTP_PROTOTYPE(Handler)

    explicit Handler(const AdminPages& pages)
        : m_pages(pages)
    {
    }

    void onRequest(const Pistache::Http::Request& request, Pistache::Http::ResponseWriter response) override
    {
        if (request.method() != Pistache::Http::Method::Get) {
            response.send(Pistache::Http::Code::Method_Not_Allowed, "only GET is served\n");
            return;
        }
        const auto page = m_pages.handle(request.resource(), decodedParameters(request));
        response.headers().addRaw(Pistache::Http::Header::Raw("Content-Type", page.contentType));
        response.send(static_cast<Pistache::Http::Code>(page.status), page.body);
    }

private:
    const AdminPages& m_pages;
};

} // namespace

class AdminServer::Implementation {
public:
    Implementation(const std::string& endpoint, const AdminPages& pages)
        : m_endpoint(Pistache::Address(endpoint))
    {
        const auto flags = Pistache::Tcp::Options::ReuseAddr;
        m_endpoint.init(Pistache::Http::Endpoint::options().threads(1).flags(flags).maxRequestSize(maximumRequestBytes).maxResponseSize(maximumResponseBytes));
        m_endpoint.setHandler(Pistache::Http::make_handler<Handler>(pages));
        m_endpoint.serveThreaded();
    }

    ~Implementation() { m_endpoint.shutdown(); }

private:
    Pistache::Http::Endpoint m_endpoint;
};

AdminServer::AdminServer(const std::string& endpoint, const AdminPages& pages)
{
    try {
        m_implementation = std::make_unique<Implementation>(endpoint, pages);
    } catch (const std::runtime_error& error) {
        throw Error(ErrorKind::AddressInUse, "the admin endpoint " + endpoint + " cannot be served (" + error.what() + ")", "stop the program that uses it or change admin.endpoint");
    }
    log(LogLevel::Info, "admin_started", { { "endpoint", endpoint } });
}

AdminServer::~AdminServer() = default;

} // namespace clementinesill::admin
