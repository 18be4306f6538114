"""CONFIG when two core machines are lost 7 s after another one was replaced."""
import asyncio
import json
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib3"))
from harness import CannotRun, Deployment, Operator, manifest, now, run_case  # noqa: E402

SUCCESSOR_AFTER_S = 1.0
CAUGHT_UP_AFTER_S = 6.0     # after the successor's start; catch_up_s is 4
READ_BACK_S = 30.0


async def case(record, trouble):
    deployment = Deployment(record, fronts=1, cores=5)
    try:
        deployment.start_all()
        operator = Operator(deployment, record)
        route = (f"{deployment.net}.250", 8443)

        def version(number):
            return manifest(number, [("r-1", *route, "safe", "desk")], {"desk": (2.0, 0.0)})

        async def lose(names):
            for name in names:
                deployment.signal(name, signal.SIGKILL)
            zones = []
            for name in names:
                machine = deployment.machines[name]
                machine.process.wait()
                zones.append(machine.zone)
                del deployment.machines[name]
            deployment.seeds = [f"{m.ip}:8166" for m in deployment.of("core")][:3]
            await asyncio.sleep(SUCCESSOR_AFTER_S)
            for zone in zones:
                deployment.made += 1
                successor = deployment.add("core", zone, f"core-new-{deployment.made}")
                successor.first_start = False
                deployment.start(successor.name)

        deployment.made = 0
        await operator.must("PUT", "/clementinesill/config", version(1), within=30)
        await asyncio.sleep(3)
        await operator.must("PUT", "/clementinesill/config", version(5))
        acknowledged = 5
        first, second, third = [m.name for m in deployment.of("core")][2:]
        if trouble:
            await lose([first])
        await asyncio.sleep(CAUGHT_UP_AFTER_S)
        status, _ = await operator.call("PUT", "/clementinesill/config", version(7), within=5)
        record(f"operator: version 7 -> {status}")
        if status != 200:
            raise CannotRun("no ack after the first replacement")
        acknowledged = 7
        if trouble:
            await lose([second, third])
        await asyncio.sleep(5)
        status, _ = await operator.call("PUT", "/clementinesill/config", version(9), within=15)
        record(f"operator: version 9 -> {status}")
        if status == 200:
            acknowledged = 9
        status, answer = await operator.call("GET", "/clementinesill/config", within=READ_BACK_S)
        found = json.loads(answer)["version"] if status == 200 else None
        record(f"operator: GET -> {status}, version {found}; acknowledged {acknowledged}; core processes: {[m.name for m in deployment.of('core')]}; ended: {deployment.ended()}")
        print(f"read back: {status}, version {found}; newest acknowledged {acknowledged}")
        return found is None or found < acknowledged
    finally:
        deployment.close()


run_case(case, pathlib.Path(__file__).resolve().parent)
