"""A controller that was removed keeps its vote, and one that is stopped for a while loses it. See claim.txt."""
import json, os, shutil, signal, sys, time
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-2"))
from deployment import manifest, run_case

CATCH_UP_S, RECOVERY_S, CONTACT_S, GRACE_S = 4.0, 12.0, 4.0, 6.0


def start_empty(rig, name):
    shutil.rmtree(rig.nodes[name]["data_dir"], ignore_errors=True)
    os.makedirs(rig.nodes[name]["data_dir"])
    rig.nodes[name]["bootstrap"] = False
    rig.record(f"{name} starts with an empty disk")
    rig.start(name)


def test(rig, trouble):
    stops = os.environ.get("STOP", "1") != "0"
    rig.controllers(5)
    for name in rig.nodes:
        rig.start(name)
    routes = [(rig.address(100), 8443, "safe", "desk")]
    if not rig.operate("PUT", "/clementinesill/config", manifest(7, routes, ["desk"])):
        raise RuntimeError("the first manifest was not acknowledged")
    time.sleep(5)
    if trouble:
        rig.signal("core-2", signal.SIGKILL)
        rig.processes["core-2"].wait()
        gone = rig.nodes.pop("core-2")
        shutil.rmtree(gone["data_dir"])
        rig.record("core-2 is removed for good")
        time.sleep(0.5)
        if stops:
            rig.signal("core-3", signal.SIGTERM)
        time.sleep(0.5)
        rig.add("core-6", "controller", 6, gone["zone"], bootstrap=False)
        start_empty(rig, "core-6")
        successor_started = time.monotonic()
        if stops:
            rig.processes["core-3"].wait(GRACE_S)
            rig.record("core-3 has ended; its disk is kept")
        time.sleep(max(0.0, successor_started + CATCH_UP_S + 0.3 - time.monotonic()))
    acknowledged = 8
    if not rig.operate("PUT", "/clementinesill/config", manifest(acknowledged, routes + [(rig.address(101), 8443, "safe", "desk")], ["desk"])):
        raise RuntimeError("the last manifest was not acknowledged")
    if trouble:
        rig.record(f"core-6 has run for {time.monotonic() - successor_started:.1f} s; core-4 and core-5 lose their disks")
        for name in ("core-4", "core-5"):
            rig.signal(name, signal.SIGKILL)
        for name in ("core-4", "core-5"):
            rig.processes[name].wait()
        time.sleep(1)
        for name in ("core-4", "core-5"):
            start_empty(rig, name)
        if stops:
            rig.start("core-3")
            rig.record("core-3 is started again, with its disk")
        rig.record("all controllers are back")
        time.sleep(RECOVERY_S)
    end, read = time.monotonic() + 2 * CONTACT_S, None
    while time.monotonic() < end:
        read = rig.operate("GET", "/clementinesill/config", patience=1.0)
        if read and read[0] == 200:
            break
    if not read or read[0] != 200:
        return [f"manifest {acknowledged} was acknowledged and doesn't come {RECOVERY_S + 2 * CONTACT_S:g} s after all controllers are back"]
    version = json.loads(read[1])["version"]
    return [] if version == acknowledged else [f"manifest {acknowledged} was acknowledged, {version} is read back"]


run_case(test)
