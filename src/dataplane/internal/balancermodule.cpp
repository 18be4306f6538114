#include "dataplane/balancermodule.h"

#include "foundation/error.h"

namespace clementinesill::dataplane {

std::unique_ptr<IRoleModule> makeBalancerModule(const schema::DaemonSettings&, fleet::IFleetClient&, MetricsRegistry&)
{
    throw Error(ErrorKind::Unsupported, "the balancer role is not built yet", "wait");
}

} // namespace clementinesill::dataplane
