"""A server restarts under its id after its machine's time of day has jumped back, and later leaves."""
import asyncio
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))

from deployment import BOUNDS, CannotRun, Deployment, Operator, manifest, route, run_case
from flows import Requesters, Server

ZONE = "zone-a"
PORT = 8443
# The dose of clock_step: the time of day of the machine is ahead when the server starts, and jumps back 1 s later.
CLOCK_AHEAD_MS = 2400
FIRST_BOOT_S = 1.0
DOWN_S = 0.5
CALM_S = BOUNDS["contact_ms"] / 1000 + 1
DRAIN_S = BOUNDS["drain_ms"] / 1000
FLOWS_A_SECOND = 10
WORK_S = 0.5


async def wait_until(condition, timeout, what):
    for _ in range(int(timeout / 0.1)):
        if condition():
            return
        await asyncio.sleep(0.1)
    raise CannotRun(what)


async def order(requesters, host, ident, results):
    flow = requesters.flow(host, PORT)
    answer = await flow.request(ident, work_s=WORK_S) if await flow.open() else None
    results.append((ident, answer is not None))
    flow.close()
    await asyncio.sleep(0.5)
    flow.drop()


async def traffic(requesters, host, results):
    count = 0
    while True:
        asyncio.create_task(order(requesters, host, f"order-{count}", results))
        count += 1
        await asyncio.sleep(1 / FLOWS_A_SECOND)


async def case(record, trouble):
    deployment = Deployment(record, [ZONE])
    try:
        controllers = deployment.add_controllers(3)
        balancers = [deployment.add_balancer(1, ZONE)]
        agents = [deployment.add_agent(index + 1, ZONE, "desk") for index in range(3)]
        for machine in deployment.machines.values():
            machine.start()
        host = deployment.route_address()
        operator = Operator(record, controllers)
        if await operator.put_manifest(manifest(7, [route("r-orders", host, PORT, "desk")], ["desk"])) != 200:
            raise CannotRun("the first manifest was refused")
        others = [Server(record, machine) for machine in agents[1:]]
        for server in others:
            await server.start()
        requesters = Requesters(record, deployment, deployment.caller_address(1), balancers)
        await requesters.start()
        await wait_until(lambda: all(server.beats_acked >= 2 for server in others), 20, "the servers' pings are not acknowledged")
        await wait_until(lambda: requesters._misses.get(balancers[0].name) == 0, 20, "the balancer is not ready")
        await asyncio.sleep(CALM_S)
        results = []
        load = asyncio.create_task(traffic(requesters, host, results))

        first = Server(record, agents[0])
        first.born += CLOCK_AHEAD_MS if trouble else 0
        await first.start()
        await asyncio.sleep(FIRST_BOOT_S)
        record(f"server {first.ident}, born {first.born}, crashes")
        first.stop()
        await asyncio.sleep(DOWN_S)
        second = Server(record, agents[0], ident=first.ident)
        record(f"server {second.ident} starts again, born {second.born}")
        await second.start()
        await asyncio.sleep(CALM_S)
        taken_before = len(second.opened)
        second.state = "draining"
        await wait_until(lambda: "draining" in second.acks, 5, "the drain is not acknowledged")
        acked = second.acks["draining"]
        record.say(f"server {second.ident} is draining, acknowledged; it took {taken_before} flows before")
        await asyncio.sleep(DRAIN_S + 5)
        late = [at - acked for at, _, _ in second.opened if at - acked > DRAIN_S]
        # It serves drain_ms and 5 s longer, then it deregisters and exits.
        await second.leave()
        await asyncio.sleep(3)
        load.cancel()
        deployment.check_processes()
        answered_orders = {ident for ident, answered in results if answered}
        lost = [ident for _, ident, _ in second.runs if ident not in answered_orders]
        record.say(f"orders that the server had begun and that were never answered: {len(lost)} {' '.join(lost)}")
        if not any(answered for _, answered in results):
            raise CannotRun("no order was answered")
        record.say(f"flows that reached the draining server later than drain_ms after the acknowledgement: {len(late)}" + (f", the last one {late[-1]:.1f} s after it" if late else ""))
        return bool(late)
    finally:
        deployment.stop()


run_case(HERE, case)
