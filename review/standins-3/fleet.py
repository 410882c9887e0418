"""Stand-ins for the platform's store, replicas and callers, and a starter of entry hosts.

Everything runs on loopback addresses and the real clock. The hosts are separate processes, started
with the command of the deploy file and a settings file as the deployment page shows it.
"""
import asyncio
import json
import os
import signal
import socket
import sys
import tempfile
import time
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
DAEMON = os.path.join(ROOT, "target", "bin", "sassafrasyardd")
ROUTE_HOST = "fleet.example"


def free_range(address, count):
    """Returns the first of some consecutive ports that are free on an address."""
    for first in range(21000 + os.getpid() % 4000, 32000, count):
        sockets = []
        try:
            for port in range(first, first + count):
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    sock = socket.socket(socket.AF_INET, kind)
                    sockets.append(sock)
                    sock.bind((address, port))
            return first
        except OSError:
            continue
        finally:
            for sock in sockets:
                sock.close()
    raise RuntimeError("no free ports")


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.start = time.monotonic()

    def write(self, *parts):
        line = "%8.3f %s" % (time.monotonic() - self.start, " ".join(str(part) for part in parts))
        self.file.write(line + "\n")
        self.file.flush()


class Message:
    """A request or a response."""

    def __init__(self, first, headers, body):
        self.first = first
        self.headers = headers
        self.body = body

    def get(self, name, default=None):
        for field, value in self.headers:
            if field.lower() == name.lower():
                return value
        return default

    @property
    def method(self):
        return self.first.split(" ")[0]

    @property
    def target(self):
        return self.first.split(" ")[1]

    @property
    def status(self):
        return int(self.first.split(" ")[1])


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = []
    for line in lines[1:]:
        if line:
            name, value = line.split(":", 1)
            headers.append((name, value.strip()))
    return Message(lines[0], headers, b"")


async def read_chunk(reader):
    """Returns the bytes of a chunk; none at the last one."""
    size = int((await reader.readline()).split(b";")[0], 16)
    if size == 0:
        while (await reader.readline()).strip():
            pass
        return b""
    data = await reader.readexactly(size)
    await reader.readexactly(2)
    return data


async def read_body(message, reader, is_response=False):
    if (message.get("Transfer-Encoding") or "").lower() == "chunked":
        while True:
            data = await read_chunk(reader)
            if not data:
                return
            message.body += data
    length = message.get("Content-Length")
    if length is not None:
        message.body = await reader.readexactly(int(length))
    elif is_response:
        message.body = await reader.read()


def encode(first, headers, body=b""):
    text = first + "\r\n" + "".join("%s: %s\r\n" % field for field in headers) + "\r\n"
    return text.encode("latin-1") + body


class Store:
    """The platform's store: objects by kind and name, lists, watches and writes."""

    def __init__(self, record):
        self.record = record
        self.objects = {}
        self.history = []
        self.revision = 100
        self.era = 1
        self.down = False
        self.changed = asyncio.Condition()
        self.address = None
        self.hook = None

    async def start(self, address="127.0.0.1"):
        server = await asyncio.start_server(self.serve, address, 0)
        self.address = "%s:%d" % server.sockets[0].getsockname()[:2]

    async def put(self, kind, name, spec):
        async with self.changed:
            self.change(kind, name, spec, False)
            self.changed.notify_all()

    async def remove(self, kind, name):
        async with self.changed:
            if name in self.objects.get(kind, {}):
                self.change(kind, name, self.objects[kind][name]["spec"], True)
            self.changed.notify_all()

    def change(self, kind, name, spec, is_removed):
        known = self.objects.setdefault(kind, {})
        if not is_removed and name in known and known[name]["spec"] == spec:
            return
        self.revision += 1
        first = known[name]["metadata"]["create-rev"] if name in known else self.revision
        item = {"metadata": {"name": name, "revision": self.revision, "create-rev": first,
                             "finalizers": [], "deleting": False}, "spec": spec, "status": {}}
        if is_removed:
            known.pop(name, None)
        else:
            known[name] = item
        self.history.append((self.revision, kind, {"object": item, "removed": is_removed}))

    async def serve(self, reader, writer):
        try:
            while True:
                request = await read_head(reader)
                await read_body(request, reader)
                if self.hook:
                    await self.hook(request, writer)
                status, value = await self.answer(request)
                body = json.dumps(value).encode()
                writer.write(encode("HTTP/1.1 %d X" % status,
                                    [("Content-Type", "application/json"),
                                     ("Store-Era", str(self.era)),
                                     ("Content-Length", str(len(body)))], body))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, request):
        if self.down:
            return 503, {}
        parts = urlsplit(request.target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        path = [unquote(part) for part in parts.path.split("/")[2:]]
        kind = path[0]
        name = path[1] if len(path) > 1 else None
        if request.method == "GET" and "watch" in query:
            return await self.watch(kind, int(query["watch"]), int(query.get("wait-ms", "0")))
        known = self.objects.setdefault(kind, {})
        if request.method == "GET" and name:
            return (200, known[name]) if name in known else (404, {})
        if request.method == "GET":
            return 200, {"items": [known[key] for key in sorted(known)], "has-more": False,
                         "current-rev": self.revision}
        if request.method == "DELETE":
            if name not in known:
                return 404, {}
            await self.remove(kind, name)
            return 200, {}
        spec = json.loads(request.body)
        target = spec["metadata"]["name"] if request.method == "POST" else name
        if (target in known) == (request.method == "POST"):
            return (409, known[target]) if request.method == "POST" else (404, {})
        await self.put(kind, target, spec["spec"])
        return 200, known[target]

    async def watch(self, kind, since, wait_ms):
        end = time.monotonic() + wait_ms / 1000
        era = self.era
        async with self.changed:
            while True:
                if self.down or era != self.era:
                    return 503, {}
                if since > self.revision:
                    return 410, {}
                events = [event for revision, changed, event in self.history
                          if revision > since and changed == kind]
                left = end - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events, "current-rev": self.revision}
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass


class Replica:
    """A replica; answer(replica, request, reader, writer) writes the response to a request."""

    def __init__(self, record, store, name, service, answer, zone="zone-a", slots=24,
                 version="v1"):
        self.record = record
        self.store = store
        self.name = name
        self.service = service
        self.answer = answer
        self.zone = zone
        self.slots = slots
        self.version = version
        self.state = "ready"
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.received = []
        self.server = None
        self.address = None

    async def start(self, address="127.0.0.1"):
        self.server = await asyncio.start_server(self.serve, address, 0)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]
        await self.register()
        asyncio.ensure_future(self.beat())

    async def register(self):
        self.sequence += 1
        await self.store.put("servers", self.name, {
            "service": self.service, "addr": self.address, "zone": self.zone,
            "version": self.version, "slots": self.slots, "state": self.state, "cold-left-ms": 0,
            "call-seq": self.sequence, "born": self.born, "stage": "combined", "models": []})

    async def beat(self):
        while True:
            await asyncio.sleep(1.2)
            await self.register()

    async def serve(self, reader, writer):
        try:
            while True:
                request = await read_head(reader)
                await read_body(request, reader)
                if request.target == "/report":
                    await self.send(writer, request, 200, json.dumps({
                        "stage": "combined", "models": [], "busy": False, "call-seq": 0,
                        "waiting": 0, "running": 0, "kv-used": 0, "kv-total": 34000,
                        "handles": 0, "born": self.born}).encode())
                    continue
                if request.get("Expect-Replica") not in (None, self.name):
                    await self.send(writer, request, 421, b"", [("Not-Executed", "1")])
                    continue
                self.received.append(request)
                self.record.write("replica", self.name, "got", request.first, "id",
                                  request.get("Request-Id"))
                await self.answer(self, request, reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def send(self, writer, request, status, body, headers=()):
        fields = [("Request-Id", request.get("Request-Id", ""))] + list(headers)
        if status == 200:
            fields.append(("Replica-Stamp", "stamp-" + self.name))
        fields.append(("Content-Length", str(len(body))))
        writer.write(encode("HTTP/1.1 %d X" % status, fields, body))
        await writer.drain()


def route(name, kind, service, timeout=5000, **more):
    value = {"name": name, "host": ROUTE_HOST, "path-prefix": "/%s/" % name, "kind": kind,
             "service": service, "timeout-ms": timeout, "target-latency-ms": 300,
             "gap-aim-ms": 180, "priority": 1, "max-attempts": 2, "sticky": False,
             "resumable": False, "auth-exempt": False}
    value.update(more)
    return value


def configuration(version, routes, services, keys):
    return {"version": version, "routes": routes, "services": services,
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304,
                       "header-timeout-ms": 5000, "idle-timeout-ms": 10000},
            "tenants": [{"name": name, "api-keys": values} for name, values in keys.items()]}


class Host:
    """An entry host: one process of the daemon, with its own loopback address."""

    def __init__(self, record, store, number, folder, zone="zone-a"):
        self.record = record
        self.name = "front-%s-%d" % (zone, number)
        # Runs beside each other use other addresses.
        self.ip = "127.77.%d.%d" % (os.getpid() % 250 + 1, number)
        self.folder = folder
        self.store = store
        self.zone = zone
        self.first = free_range(self.ip, 8)
        self.front = (self.ip, self.first)
        self.process = None
        self.log = None

    def settings(self):
        return {
            "node": self.name, "role": "entry", "machine-class": "front",
            "serves": ["front", "directory"], "ip": self.ip, "zone": self.zone, "region": "r",
            "zones": {"zone-a": "r", "zone-b": "r"},
            "listen": {"front": "%s:%d" % (self.ip, self.first),
                       "ready": "%s:%d" % (self.ip, self.first + 1),
                       "directory": "%s:%d" % (self.ip, self.first + 2)},
            "internal-ports": [self.first + 3, self.first + 7], "seeds": [], "bootstrap": True,
            "fault-counted": False,
            "limits": {"cpu-share": 0.25, "cores": 1, "memory-mb": 110, "max-fds": 4100,
                       "link-mbps": 1000.0, "disk-mb": 0},
            "data-dir": None, "discovery": "platform", "entry": "directory", "heartbeat-ms": 1200,
            "contracts": ["base", "drain", "config", "cost", "retry", "recover", "engine",
                          "stream", "tenants", "platform"],
            "fault-tolerance": {"machines": 2, "zones": 0, "regions": 0},
            "bounds": {"seed-lag-s": 3, "addr-reuse-s": 2, "stability-window-ms": 3000,
                       "ack-timeout-ms": 4000, "catch-up-s": 4, "drain-ms": 2000, "grace-s": 8,
                       "loss-slack-ms": 200, "config-apply-ms": 2000, "downgrade-slack-ms": 250,
                       "outer-ms": 5000, "revoke-fail-closed": True, "revoke-ms": 5000,
                       "retry-budget-ratio": 0.2, "budget-window-s": 10, "retry-budget-slack": 56,
                       "recovery-s": 12, "pass-ms": 120, "again-s": 4.5, "ttl_max_s": 5},
            "platform-params": {"addr": self.store.address, "form": "objects", "writes-per-s": 400,
                                "reads-per-s": 2000, "history-s": 20, "value-bytes": 1048576,
                                "ttl-min-ms": 1000}}

    async def start(self):
        path = os.path.join(self.folder, self.name + ".yaml")
        with open(path, "w") as file:
            json.dump(self.settings(), file, indent=1)
        self.log = open(os.path.join(self.folder, self.name + ".log"), "ab")
        environment = {"PATH": os.environ.get("PATH", ""), "HOME": self.folder, "LANG": "C",
                       "SASSAFRASYARD_SETTINGS": path}
        self.process = await asyncio.create_subprocess_exec(
            DAEMON, cwd=ROOT, env=environment, stdout=self.log, stderr=self.log)
        self.record.write("host", self.name, "started")

    async def is_ready(self):
        try:
            answer = await call((self.ip, self.first + 1), "GET", "/ready", [], timeout=1)
            return answer.status == 200
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            return False

    async def wait_ready(self, limit=15):
        end = time.monotonic() + limit
        while time.monotonic() < end:
            if await self.is_ready():
                return
            await asyncio.sleep(0.1)
        raise RuntimeError(self.name + " is not ready")

    def signal(self, number):
        self.record.write("host", self.name, "gets", signal.Signals(number).name)
        self.process.send_signal(number)

    async def end(self):
        if self.process and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


async def call(address, method, target, headers, body=None, timeout=10):
    """Sends a request on a connection of its own and returns the whole response."""
    reader, writer = await asyncio.wait_for(asyncio.open_connection(*address), 1)
    try:
        fields = list(headers)
        if body is not None:
            fields.append(("Content-Length", str(len(body))))
        if not any(name.lower() == "host" for name, _ in fields):
            fields.insert(0, ("Host", ROUTE_HOST))
        writer.write(encode("%s %s HTTP/1.1" % (method, target), fields, body or b""))
        await writer.drain()
        answer = await asyncio.wait_for(read_head(reader), timeout)
        await asyncio.wait_for(read_body(answer, reader, True), timeout)
        return answer
    finally:
        writer.close()


def run(case, folder):
    """Runs case(record, folder) and exits with its result: 0 held, 1 broken, 2 could not run."""
    record = Record(folder)
    hosts = []

    async def bounded():
        with tempfile.TemporaryDirectory() as scratch:
            try:
                return await asyncio.wait_for(case(record, scratch, hosts), 110)
            finally:
                for host in hosts:
                    await host.end()
                keep = os.environ.get("KEEP_LOGS")
                if keep:
                    os.system("cp -r %s/. %s/" % (scratch, keep))

    try:
        result = asyncio.run(bounded())
    except Exception as problem:  # pylint: disable=broad-except
        record.write("could not run:", repr(problem))
        print("could not run:", repr(problem))
        result = 2
    record.write("exit", result)
    sys.exit(result)
