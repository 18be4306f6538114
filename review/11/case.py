"""FAILBACK when the agent beside a cold server is stopped and started, as in a rolling restart of the agents."""
import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib3"))
from harness import CannotRun, Deployment, Operator, Requester, Server, manifest, now, run_case  # noqa: E402

COLD_S, COLD_PER_S = 6.0, 2.0
SIDES = ("desk",) * 7 + ("gallery",) * 3   # as on tdw-sill; one agent of ten is restarted
RATE = 150.0          # new flows a second to the three servers of the gallery
RESTART_AFTER_S = 0.1


def worst_second(times):
    """The most requests in any span of one second, and where that span begins."""
    worst, begin, first = 0, 0.0, 0
    for last, at in enumerate(times):
        while at - times[first] >= 1.0:
            first += 1
        if last - first + 1 > worst:
            worst, begin = last - first + 1, times[first]
    return worst, begin


async def case(record, trouble):
    deployment = Deployment(record, fronts=7, cores=5, sides=SIDES, zones=("zone-a",))
    servers = []
    try:
        deployment.start_all()
        operator = Operator(deployment, record)
        route = (f"{deployment.net}.250", 8443)
        watch = asyncio.ensure_future(deployment.watch_readiness())
        await operator.must("PUT", "/clementinesill/config", manifest(1, [("r-1", *route, "safe", "gallery")], {"desk": (COLD_S, COLD_PER_S), "gallery": (COLD_S, COLD_PER_S)}), within=30)
        await deployment.wait_ready()
        sides = deployment.of("side")
        for side in sides[:-1]:
            servers.append(Server(deployment, side, record, slots=5))
            await servers[-1].start()
        requester = Requester(deployment, record, deployment.ip())
        await requester.start()

        async def traffic():
            while True:
                requester.attempt(route)
                await asyncio.sleep(1 / RATE)

        load = asyncio.ensure_future(traffic())
        await asyncio.sleep(4)
        if not servers[-1].taken:
            raise CannotRun("the gallery got no flow")
        # A server that starts during traffic is cold.
        cold = Server(deployment, sides[-1], record, slots=5, cold_s=COLD_S)
        await cold.start()
        servers.append(cold)
        limit = COLD_PER_S * deployment.bounds["cold_overage"] + deployment.bounds["cold_slack"]
        end = now() + 5
        while len(cold.taken) < limit and now() < end:
            await asyncio.sleep(0.005)
        record(f"the cold server has taken {len(cold.taken)} flows, limit {limit} in a second")
        if trouble:
            agent = sides[-1].name
            deployment.signal(agent, signal.SIGTERM)
            while deployment.machines[agent].process.poll() is None:
                await asyncio.sleep(0.005)
            record(f"{agent} has ended")
            await asyncio.sleep(RESTART_AFTER_S)
            deployment.start(agent)
        while cold.is_cold(now()):
            await asyncio.sleep(0.1)
        load.cancel()
        watch.cancel()
        times = [at for at, _ in cold.taken if cold.is_cold(at)]
        for at in times:
            record(f"cold server took a flow at {at - record.start:.3f}")
        worst, begin = worst_second(times)
        record(f"most flows that the cold server took in a second: {worst} from {begin - record.start:.3f}; allowed {limit}")
        record(f"requester attempts: {len(requester.done)}; answered {sum(1 for f in requester.done if f.answered)}; the warm servers took {sum(len(server.taken) for server in servers[:-1])}")
        print(f"cold server: {worst} flows in one second, allowed {limit}")
        return worst > limit
    finally:
        for server in servers:
            server.crash()
        deployment.close()


run_case(case, pathlib.Path(__file__).resolve().parent)
