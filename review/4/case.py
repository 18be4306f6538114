"""A manifest moves a route to another service and no longer lists the old one, while flows of the route are open there."""
import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))

from deployment import CannotRun, Deployment, Operator, manifest, route, run_case
from flows import Requesters, Server

ZONES = ["zone-a", "zone-b"]
PORT = 8443
FLOWS = 8
REQUESTS_BEFORE = 4
PAUSE_S = 0.5
# config_propagation_ms, so that every machine has the new manifest.
PROPAGATION_S = 3.0


async def wait_until(condition, timeout, what):
    for _ in range(int(timeout / 0.1)):
        if condition():
            return
        await asyncio.sleep(0.1)
    raise CannotRun(what)


async def case(record, trouble):
    deployment = Deployment(record, ZONES)
    try:
        controllers = deployment.add_controllers(3)
        balancers = [deployment.add_balancer(index + 1, zone) for index, zone in enumerate(ZONES)]
        agents = [deployment.add_agent(index + 1, ZONES[index % 2], "old-desk" if index < 2 else "new-desk") for index in range(4)]
        for machine in deployment.machines.values():
            machine.start()
        host = deployment.route_address()
        operator = Operator(record, controllers)
        if await operator.put_manifest(manifest(7, [route("r-orders", host, PORT, "old-desk")], ["old-desk", "new-desk"])) != 200:
            raise CannotRun("the first manifest was refused")
        servers = [Server(record, machine) for machine in agents]
        for server in servers:
            await server.start()
        requesters = Requesters(record, deployment, deployment.caller_address(1), balancers)
        await requesters.start()
        await wait_until(lambda: all(server.beats_acked >= 3 for server in servers), 20, "the servers' pings are not acknowledged")
        await wait_until(lambda: all(requesters._misses.get(machine.name) == 0 for machine in balancers), 20, "the balancers are not ready")
        await asyncio.sleep(2)

        flows = []
        for _ in range(FLOWS):
            flow = requesters.flow(host, PORT)
            if not await flow.open():
                raise CannotRun("a flow did not open on the quiet deployment")
            flows.append(flow)
        for count in range(REQUESTS_BEFORE):
            answers = await asyncio.gather(*(flow.request(f"before-{count}-{index}") for index, flow in enumerate(flows)))
            if not all(answers):
                raise CannotRun("a request on an open flow was not answered before the change")
            await asyncio.sleep(PAUSE_S)

        # The route stays; without the disruption, the manifest still lists the service that the open flows are at.
        listed = ["new-desk"] if trouble else ["old-desk", "new-desk"]
        if await operator.put_manifest(manifest(12, [route("r-orders", host, PORT, "new-desk")], listed)) != 200:
            raise CannotRun("the second manifest was refused")
        await asyncio.sleep(PROPAGATION_S)
        answers = await asyncio.gather(*(flow.request(f"after-{index}") for index, flow in enumerate(flows)))

        # New requests are served by the new service, so the deployment works.
        fresh = requesters.flow(host, PORT)
        if not await fresh.open() or not await fresh.request("new-flow"):
            raise CannotRun("the new service serves no request")
        deployment.check_processes()
        resets = sum(1 for flow in flows if flow.reset_at)
        record.say(f"open flows: {FLOWS}, reset by the system: {resets}, requests on them answered after the change: {sum(1 for answer in answers if answer)}")
        return resets > 0
    finally:
        deployment.stop()


run_case(HERE, case)
