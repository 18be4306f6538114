"""Starts a small deployment of the project's own programs on loopback, with the commands and templates of the deploy file."""
import json, os, random, re, shutil, signal, socket, struct, subprocess, sys, tempfile, threading, time, tomllib
import http.client

ROOT = os.path.abspath(os.environ.get("REPO", os.path.join(os.path.dirname(__file__), "..", "..")))

def free_ports(count):
    found = []
    while len(found) < count:
        sockets = []
        port = random.randrange(20000, 30000)
        try:
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                s = socket.socket(socket.AF_INET, kind)
                sockets.append(s)
                s.bind(("0.0.0.0", port))
            if port not in found:
                found.append(port)
        except OSError:
            pass
        finally:
            for s in sockets:
                s.close()
    return found

def render(text, fields):
    def value(match):
        name, _, form = match.group(1).partition("|")
        current = fields
        for part in name.split("."):
            current = current[int(part)] if isinstance(current, list) else current.get(part)
            if current is None:
                return ""
        if form == "json" or isinstance(current, (dict, bool)):
            return json.dumps(current)
        return ",".join(map(str, current)) if isinstance(current, list) else str(current)
    return re.sub(r"\{\{([^}#/^]+)\}\}", value, text)

def manifest(version, routes, services, **fields):
    """A manifest as PROTOCOL.md shows it; routes: (host, port, kind, service), services: names or dictionaries."""
    def service(entry):
        given = entry if isinstance(entry, dict) else {"name": entry}
        return {"health_path": "/health", "max_conns": 2000, "protocol": "h1", "tls": False, "cold_start_s": 2.0, "cold_per_s": 0.0} | given
    def route(index, entry):
        host, port, kind, name = entry[:4]
        plain = {"name": f"r-{index}", "host": host, "path_prefix": f"/{port}/", "kind": kind, "timeout_ms": 1500, "target_latency_ms": 150, "priority": 2, "service": name, "max_attempts": 2}
        return plain | (entry[4] if len(entry) > 4 else {})
    limits = {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
    content = {"version": version, "routes": [route(i, r) for i, r in enumerate(routes)], "services": [service(s) for s in services], "limits": limits}
    return json.dumps(content | fields)

class Rig:
    def __init__(self, record):
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.deploy = tomllib.load(open(os.path.join(ROOT, "deploy/system.toml"), "rb"))
        self.net = f"127.{random.randrange(20, 250)}.{random.randrange(1, 250)}"
        self.datagram, self.ready_port, self.control, self.outbound, self.app, self.internal, self.admin = free_ports(7)
        self.processes, self.nodes = {}, {}
        self.started = time.monotonic()
        self.record_file, self.lock = open(record, "w"), threading.Lock()
        self.zones = {"mandaue": "cebu", "lapu-lapu": "cebu", "talisay": "cebu"}
        self.seeds = []

    def record(self, text):
        with self.lock:
            self.record_file.write(f"{time.monotonic() - self.started:9.3f} {text}\n")
            self.record_file.flush()

    def address(self, number):
        return f"{self.net}.{number}"

    def add(self, name, role, number, zone, service="", bootstrap=True):
        ip = self.address(number)
        cls = {"balancer": "front", "agent": "side", "controller": "core"}[role]
        data = os.path.join(self.folder, name + ".data")
        fields = {
            "node_name": name, "role": role, "machine_class": cls, "serves": [{"front": "front", "side": "side", "core": "control"}[cls]],
            "ip": ip, "zone": zone, "region": "cebu", "internal_port_range": [self.internal, self.internal + 15], "seeds": self.seeds,
            "bootstrap": bootstrap, "heartbeat_ms": 770, "service": service, "app": f"{ip}:{self.app}", "data_dir": data,
            "listen": {"datagram_addr": f"{ip}:{self.datagram}", "ready": f"{ip}:{self.ready_port}", "control": f"{ip}:{self.control}", "outbound": f"{ip}:{self.outbound}"},
            "limits": {"link_mbps": 1000.0}, "bounds": {"cold_overage": 1.5, "cold_slack": 5, "flow_max_s": 60},
        }
        if role == "controller":
            os.makedirs(data, exist_ok=True)
        self.nodes[name] = fields
        return fields

    def start(self, name):
        fields = self.nodes[name]
        role = self.deploy["roles"][fields["role"]]
        settings = os.path.join(self.folder, name + ".json")
        template = open(os.path.join(ROOT, role["template"])).read().replace(":9464", f":{self.admin}")
        with open(settings, "w") as file:
            file.write(render(template, fields))
        environment = {k: v for k, v in os.environ.items() if k in ("PATH", "HOME", "LANG")}
        environment["CLEMENTINESILL_NODE_FILE"] = settings
        out = open(os.path.join(self.folder, name + ".log"), "ab")
        self.processes[name] = subprocess.Popen(role["run"].split(), cwd=ROOT, env=environment, stdout=out, stderr=out, stdin=subprocess.DEVNULL)

    def signal(self, name, number):
        self.record(f"signal {signal.Signals(number).name} to {name}")
        self.processes[name].send_signal(number)

    def stop(self):
        for p in self.processes.values():
            if p.poll() is None:
                p.send_signal(signal.SIGCONT)
                p.kill()
        for p in self.processes.values():
            p.wait()
        self.record_file.close()
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)

    def http(self, ip, port, method, path, body=None, timeout=1.0):
        """One call; returns (status, body, location), or None without a response."""
        try:
            c = http.client.HTTPConnection(ip, port, timeout=timeout)
            c.request(method, path, body, {"Content-Type": "application/json", "Connection": "close"} if body is not None else {"Connection": "close"})
            r = c.getresponse()
            data = r.read()
            c.close()
            return r.status, data, r.getheader("Location")
        except (OSError, http.client.HTTPException):
            return None

    def operate(self, method, path, body=None, patience=20.0, first=None):
        """A call of the operator, sent again to the controllers in turn until it is answered clearly."""
        names = [n for n, f in self.nodes.items() if f["role"] == "controller"]
        targets = ([first] if first else []) + random.sample(names, len(names))
        end, index = time.monotonic() + patience, 0
        while time.monotonic() < end:
            ip, port = self.nodes[targets[index % len(targets)]]["ip"], self.control
            index += 1
            for _ in range(3):
                answer = self.http(ip, port, method, path, body)
                self.record(f"operator {method} {path} to {ip}: {answer[0] if answer else 'no response'}")
                if answer and answer[0] == 307 and answer[2]:
                    ip, port = re.match(r"http://([0-9.]+):(\d+)", answer[2]).groups()
                    port = int(port)
                    continue
                break
            if answer and (answer[0] == 200 or 400 <= answer[0] < 500 and answer[0] not in (408, 429)):
                return answer
            time.sleep(min(0.05 * 2 ** min(index, 4), 0.5))
        return None

    def controllers(self, count=3):
        zones = list(self.zones)
        self.seeds = [f"{self.address(i)}:{self.control}" for i in range(1, min(count, 3) + 1)]
        for i in range(1, count + 1):
            self.add(f"core-{i}", "controller", i, zones[(i - 1) % 3])

    def ready(self, name):
        answer = self.http(self.nodes[name]["ip"], self.ready_port, "GET", "/clementinesill/readiness")
        return bool(answer) and answer[0] == 200

    def wait_ready(self, names, patience=20.0):
        end = time.monotonic() + patience
        while time.monotonic() < end:
            if all(self.ready(name) for name in names):
                return
            time.sleep(0.1)
        raise RuntimeError("the deployment did not become ready")

def run_case(test):
    """Runs test(rig, trouble), which returns a list of what broke the rule; exits with 1, 0 or 2."""
    folder = os.path.dirname(os.path.abspath(sys.argv[0]))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    code, rig = 2, None
    try:
        rig = Rig(os.path.join(folder, "record.txt"))
        rig.record("with the disruption" if trouble else "without the disruption")
        broken = test(rig, trouble)
        for text in broken:
            rig.record("BROKEN: " + text)
            print("BROKEN: " + text)
        if not broken:
            rig.record("the rule held")
            print("the rule held")
        code = 1 if broken else 0
    except Exception as error:
        print(f"the case could not run: {error!r}", file=sys.stderr)
        if rig:
            rig.record(f"the case could not run: {error!r}")
    finally:
        if rig:
            rig.stop()
    sys.stdout.flush()
    os._exit(code)
