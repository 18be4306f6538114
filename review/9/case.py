"""A manifest whose version is 0 is acknowledged and lost. See claim.txt."""
import json, os, sys, time
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-2"))
from deployment import manifest, run_case

READ_S = 10


def test(rig, trouble):
    version = 0 if trouble else 1
    rig.controllers(5)
    rig.add("front-1", "balancer", 11, "mandaue")
    for name in rig.nodes:
        rig.start(name)
    content = manifest(version, [(rig.address(100), 8443, "safe", "desk")], ["desk"])
    answer = rig.operate("PUT", "/clementinesill/config", content)
    if not answer:
        raise RuntimeError("the manifest got no clear response")
    if answer[0] != 200:
        rig.record(f"the manifest of version {version} was refused with {answer[0]}")
        return []
    end, read = time.monotonic() + READ_S, None
    while time.monotonic() < end and not read:
        read = rig.operate("GET", "/clementinesill/config", patience=1.0)
    if read and read[0] == 200 and json.loads(read[1]) == json.loads(content):
        rig.record("the manifest was read back as it was sent")
        return []
    return [f"the manifest of version {version} was acknowledged and, read for {READ_S} s after that, doesn't come"]


run_case(test)
