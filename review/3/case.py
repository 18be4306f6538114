"""A core machine is removed as planned, long after its successor has come, and then two others lose their disks."""
import asyncio
import pathlib
import shutil
import signal
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))

from deployment import BOUNDS, CannotRun, Deployment, Operator, http, manifest, route, run_case
from flows import Requesters, Server

ZONES = ["zone-a", "zone-b", "zone-c"]
PORT = 8443
CATCH_UP_S = BOUNDS["catch_up_s"]
RECOVERY_S = BOUNDS["recovery_s"]
DOWN_S = 1.0
# From the end of the removed controller to the loss of the disks.
PAUSE_S = 0.5
READ_S = 30.0


async def wait_until(condition, timeout, what):
    for _ in range(int(timeout / 0.05)):
        if condition():
            return
        await asyncio.sleep(0.05)
    raise CannotRun(what)


async def leader_of(controllers):
    """The controller that the others name in a 307."""
    for address in controllers:
        answer = await http(address, "GET", "/clementinesill/config")
        if answer and answer[0] == 307:
            return answer[1]["location"].removeprefix("http://").split("/")[0]
    raise CannotRun("no controller names the leader")


async def case(record, trouble):
    deployment = Deployment(record, ZONES)
    try:
        controllers = deployment.add_controllers(5)
        balancer = deployment.add_balancer(1, ZONES[0])
        agent = deployment.add_agent(1, ZONES[0], "desk")
        for machine in deployment.machines.values():
            machine.start()
        cores = {machine.fields["listen"]["control"]: machine for machine in deployment.machines.values() if machine.role == "controller"}
        host = deployment.route_address()
        routes = [route("r-orders", host, PORT, "desk")]
        operator = Operator(record, controllers)
        if await operator.put_manifest(manifest(7, routes, ["desk"])) != 200:
            raise CannotRun("the first manifest was refused")
        server = Server(record, agent)
        await server.start()
        requesters = Requesters(record, deployment, deployment.caller_address(1), [balancer])
        await requesters.start()
        await wait_until(lambda: server.beats_acked >= 3 and requesters._misses.get(balancer.name) == 0, 20, "the deployment is not ready")
        await asyncio.sleep(CATCH_UP_S + 1)

        # The successor starts first and has more than catch_up_s.
        leader = await leader_of(controllers)
        removed = next(address for address in reversed(controllers) if address != leader)
        successor = deployment.add_successor(6, cores[removed].fields["zone"], [address for address in controllers if address != removed][:3])
        successor.start()
        cores[successor.fields["listen"]["control"]] = successor
        await asyncio.sleep(CATCH_UP_S + 2)
        cores[removed].signal(signal.SIGTERM)
        await wait_until(lambda: not cores[removed].running(), 6, "the removed controller did not stop")
        record(f"{cores[removed].name} has stopped and never comes back")
        operator.controllers = [address for address in cores if address != removed]
        await asyncio.sleep(PAUSE_S)
        before = time.monotonic()
        if await operator.put_manifest(manifest(9, routes, ["desk"])) != 200:
            raise CannotRun("the second manifest was refused")
        record(f"acknowledged {time.monotonic() - before:.3f} s after the controller stopped")

        if trouble:
            lost = [machine for address, machine in cores.items() if address not in (removed, leader) and machine is not successor][:2]
            for machine in lost:
                machine.kill()
            for machine in lost:
                folder = pathlib.Path(machine.fields["data_dir"])
                shutil.rmtree(folder)
                folder.mkdir()
                machine.fields["bootstrap"] = False
                record(f"{machine.name} has lost its disk")
            await asyncio.sleep(DOWN_S)
            for machine in lost:
                machine.start()
        await asyncio.sleep(RECOVERY_S)
        read = None
        deadline = time.monotonic() + READ_S
        while read is None and time.monotonic() < deadline:
            try:
                read = await operator.read_manifest(timeout=2.0)
            except CannotRun:
                pass
        running = [machine.name for address, machine in cores.items() if address != removed and machine.running()]
        record.say(f"controllers that run: {', '.join(sorted(running))}; the manifest that is read back: {read['version'] if read else 'none'}, acknowledged: 9")
        if read is None:
            try:
                await operator.put_manifest(manifest(12, routes, ["desk"]), timeout=5.0)
                record.say("a new manifest is acknowledged")
            except CannotRun:
                record.say("a new manifest gets no answer either")
        return read is None or read["version"] < 9
    finally:
        deployment.stop()


run_case(HERE, case)
