"""Stand-ins of the users' platform for the review's scripts: store, servers, callers, daemons.

Everything runs in one asyncio loop on loopback addresses. Only the entry hosts are processes of the
project, started with the command of deploy/system.toml. YARD_PROGRAM names another program for them;
with YARD_KEEP their settings and logs are kept.
"""

import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
HELD, BROKEN, NOT_RUN = 0, 1, 2


class CannotRun(Exception):
    """The case could not be played, so it says nothing about the rule."""


class Record:
    """Writes what was sent, answered and run to record.txt, with the time since the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def write(self, text):
        self.file.write(f"{self.now():9.3f} {text}\n")
        self.file.flush()


class Message:
    """A parsed HTTP request or response head with its body."""

    def __init__(self, first, headers, body=b""):
        self.first = first
        self.headers = headers
        self.body = body

    def get(self, name, default=None):
        for field, value in self.headers:
            if field.lower() == name.lower():
                return value
        return default


async def read_head(reader):
    raw = await reader.readuntil(b"\r\n\r\n")
    lines = raw.decode("latin-1").split("\r\n")
    headers = []
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers.append((name, value.strip()))
    return Message(lines[0], headers)


async def read_chunk(reader):
    """Returns the next chunk of a chunked body; empty at its end."""
    size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
    data = await reader.readexactly(size + 2)
    return data[:-2]


async def read_body(reader, message):
    if (message.get("Transfer-Encoding") or "").lower() == "chunked":
        parts = []
        while chunk := await read_chunk(reader):
            parts.append(chunk)
        return b"".join(parts)
    return await reader.readexactly(int(message.get("Content-Length") or 0))


def encode(first, headers, body=b""):
    fields = list(headers) + [("Content-Length", str(len(body)))]
    text = first + "\r\n" + "".join(f"{n}: {v}\r\n" for n, v in fields) + "\r\n"
    return text.encode("latin-1") + body


REASONS = {200: "OK", 404: "Not Found", 409: "Conflict", 410: "Gone", 421: "Misdirected Request",
           429: "Too Many Requests", 500: "Internal Server Error", 503: "Service Unavailable"}


def status_line(status):
    return f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"


class HttpServer:
    """Accepts connections and passes each request to handle(request, reader, writer)."""

    def __init__(self, handle):
        self.handle = handle
        self.server = None
        self.writers = set()
        self.tasks = set()

    async def start(self, host, port):
        self.server = await asyncio.start_server(self.serve, host, port, limit=1 << 22)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        self.tasks.add(asyncio.current_task())
        try:
            while True:
                request = await read_head(reader)
                request.body = await read_body(reader, request)
                if not await self.handle(request, reader, writer):
                    break
        except (asyncio.IncompleteReadError, ConnectionError, OSError, ValueError,
                asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            self.tasks.discard(asyncio.current_task())
            writer.close()

    def stop(self):
        """Ends it like a killed process: listeners and connections are reset."""
        if self.server:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            reset(writer)
        for task in list(self.tasks):
            task.cancel()


def reset(writer):
    """Closes a connection so that its peer sees a reset."""
    sock = writer.get_extra_info("socket")
    try:
        if sock is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
    except OSError:
        pass
    writer.transport.abort()


class Store:
    """The platform's store: objects by kind and name, watches, and restores from older copies."""

    def __init__(self, record):
        self.record = record
        self.revision = 100
        self.era = 1
        self.kinds = {}
        self.events = []
        self.first_kept = self.revision
        self.mode = "up"
        self.delay = 0.002
        self.changed = asyncio.Event()
        self.http = HttpServer(self.handle)
        self.address = ""

    async def start(self, port):
        await self.http.start("127.0.0.1", port)
        self.address = f"127.0.0.1:{port}"

    def put(self, kind, name, spec):
        objects = self.kinds.setdefault(kind, {})
        before = objects.get(name)
        if before is not None and before["spec"] == spec:
            return before
        self.revision += 1
        created = before["metadata"]["create-rev"] if before else self.revision
        value = {"metadata": {"name": name, "revision": self.revision, "create-rev": created,
                              "finalizers": [], "deleting": False},
                 "spec": spec, "status": None}
        objects[name] = value
        self.note(kind, value, False)
        return value

    def remove(self, kind, name):
        value = self.kinds.get(kind, {}).pop(name, None)
        if value is None:
            return
        self.revision += 1
        value = json.loads(json.dumps(value))
        value["metadata"]["revision"] = self.revision
        self.note(kind, value, True)

    def note(self, kind, value, removed):
        self.events.append((self.revision, kind, json.loads(json.dumps(value)), removed))
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    def copy(self):
        """Returns a copy from which the store can be restored."""
        return json.dumps([self.revision, self.kinds])

    def restore(self, copy):
        """Comes back from a copy: what was written since is gone, and the era rises."""
        self.revision, self.kinds = json.loads(copy)
        self.events = []
        self.first_kept = self.revision
        self.era += 1
        self.record.write(f"store restored, era {self.era}, revision {self.revision}")
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    def set_mode(self, mode):
        """'up', 'reset' (connections are reset), 'busy' (503) or 'silent' (no answers)."""
        self.mode = mode
        self.record.write(f"store is {mode}")
        if mode in ("reset", "silent"):
            for writer in list(self.http.writers):
                if mode == "reset":
                    reset(writer)
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    async def handle(self, request, reader, writer):
        method, target, _ = request.first.split(" ")
        if self.mode == "reset":
            reset(writer)
            return False
        if self.mode == "silent":
            await self.until_up()
            reset(writer)
            return False
        await asyncio.sleep(self.delay)
        if self.mode == "busy":
            status, body = 503, {}
        else:
            status, body = await self.call(method, target, request.body)
        if self.mode in ("reset", "silent"):
            reset(writer)
            return False
        data = json.dumps(body).encode()
        writer.write(encode(status_line(status), [("Content-Type", "application/json"),
                                                  ("Store-Era", str(self.era))], data))
        await writer.drain()
        return True

    async def until_up(self):
        while self.mode != "up":
            await self.changed.wait()

    async def call(self, method, target, body):
        parts = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(parts.query).items()}
        path = [unquote(p) for p in parts.path.split("/")[2:]]
        kind = path[0]
        name = path[1] if len(path) > 1 else None
        if method == "GET" and name is None:
            return await self.read(kind, query)
        objects = self.kinds.get(kind, {})
        if method == "GET":
            return (200, objects[name]) if name in objects else (404, {})
        if method == "POST":
            value = json.loads(body)
            name = value["metadata"]["name"]
            if name in objects:
                return 409, objects[name]
            return 200, self.put(kind, name, value.get("spec"))
        if name not in objects:
            return 404, {}
        if method == "DELETE":
            self.remove(kind, name)
            return 200, {}
        value = json.loads(body)
        expected = (value.get("metadata") or {}).get("revision")
        if expected is not None and expected != objects[name]["metadata"]["revision"]:
            return 409, objects[name]
        return 200, self.put(kind, name, value.get("spec"))

    async def read(self, kind, query):
        if "watch" not in query:
            items = [v for _, v in sorted(self.kinds.get(kind, {}).items())
                     if v["metadata"]["name"] > query.get("after-rev", "")]
            return 200, {"items": items, "has-more": False, "current-rev": self.revision}
        since, era = int(query["watch"]), self.era
        end = time.monotonic() + int(query.get("wait-ms", "0")) / 1000
        while True:
            if self.era != era or since < self.first_kept or since > self.revision:
                return 410, {}
            events = [{"removed": gone, "object": value} for rev, k, value, gone in self.events
                      if k == kind and rev > since]
            left = end - time.monotonic()
            if events or left <= 0 or self.mode != "up":
                return 200, {"events": events, "current-rev": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Server:
    """A server (replica) of a service: it registers itself and runs plain calls and streams."""

    def __init__(self, yard, service, name, zone, port, version="v1", slots=8):
        self.yard = yard
        self.service = service
        self.name = name
        self.zone = zone
        self.port = port
        self.version = version
        self.slots = slots
        self.state = "ready"
        self.running = 0
        self.runs = []
        self.event_s = 0.1
        self.first_s = 0.1
        self.born = 0
        self.http = None
        self.beat = None
        self.last_beat = 0.0
        self.is_up = False

    @property
    def address(self):
        return f"127.0.0.1:{self.port}"

    def entry(self):
        return {"service": self.service, "addr": self.address, "zone": self.zone,
                "version": self.version, "slots": self.slots, "state": self.state,
                "cold-left-ms": 0, "born": self.born, "stage": "combined",
                "models": [{"name": "m", "version": 1, "adapters": []}], "call-seq": 0}

    async def start(self, version=None):
        """Starts a new process of it, which registers itself before it serves."""
        self.version = version or self.version
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.running = 0
        self.is_up = True
        self.http = HttpServer(self.handle)
        self.yard.record.write(f"server {self.name} starts, version {self.version}")
        self.register()
        await self.http.start("127.0.0.1", self.port)
        self.beat = asyncio.ensure_future(self.keep_registered())

    def register(self):
        """Writes its entry; nothing is written while the store is away."""
        if self.yard.store.mode != "up":
            return
        self.last_beat = time.monotonic()
        self.yard.store.put("servers", self.name, self.entry())

    async def keep_registered(self):
        while True:
            await asyncio.sleep(self.yard.heartbeat / 2)
            self.register()

    def crash(self):
        """Ends it at once; its entry stays until the store drops it after three heartbeats."""
        self.yard.record.write(f"server {self.name} crashes, version {self.version}")
        self.is_up = False
        if self.beat:
            self.beat.cancel()
        if self.http:
            self.http.stop()

    def drain(self):
        self.yard.record.write(f"server {self.name} drains")
        self.state = "draining"
        self.register()

    def leave(self):
        self.crash()
        self.yard.store.remove("servers", self.name)

    async def handle(self, request, reader, writer):
        method, target, _ = request.first.split(" ")
        if target.startswith("/report"):
            return await self.send(writer, 200, [("Content-Type", "application/json")], json.dumps(
                {"stage": "combined", "born": self.born, "busy": False, "call-seq": 0,
                 "waiting": 0, "running": self.running, "kv-used": 0, "kv-total": 100000,
                 "handles": 0, "models": []}).encode())
        if target.startswith("/health"):
            return await self.send(writer, 200, [("Replica-Id", self.name)])
        if target.startswith("/kv-"):
            return await self.send(writer, 503, [])
        request_id = request.get("Request-Id")
        echo = [("Request-Id", request_id)]
        expected = request.get("Expect-Replica")
        if expected and expected != self.name:
            return await self.send(writer, 421, echo + [("Replica-Id", self.name)])
        if self.running >= self.slots or request.get("Kv-From"):
            return await self.send(writer, 503, echo + [("Not-Executed", "1")])
        self.running += 1
        try:
            return await self.run(request, echo, reader, writer)
        finally:
            self.running -= 1

    async def run(self, request, echo, reader, writer):
        request_id = request.get("Request-Id")
        last = request.get("Last-Event-Id")
        run = {"server": self.name, "version": self.version, "id": request_id, "last": last,
               "at": self.yard.record.now(), "events": 0, "tenant": request.get("Tenant")}
        self.runs.append(run)
        self.yard.record.write(f"server {self.name} ({self.version}) runs {request_id} "
                               f"of {request.get('Tenant')} from event {last}")
        stamp = echo + [("Replica-Stamp", f"{self.name}.{self.born}")]
        count = int(request.get("Events") or 0)
        if count == 0:
            await asyncio.sleep(float(request.get("Work-S") or 0.03))
            return await self.send(writer, 200, stamp, self.answer(request))
        await asyncio.sleep(self.first_s)
        head = status_line(200) + "\r\n" + "".join(f"{n}: {v}\r\n" for n, v in stamp)
        writer.write((head + "Content-Type: text/event-stream\r\n"
                      "Transfer-Encoding: chunked\r\n\r\n").encode())
        for number in range(int(last or 0) + 1, count + 1):
            if writer.transport.is_closing() or reader.at_eof():
                self.yard.record.write(f"server {self.name} drops {request_id}")
                return False
            text = (f"id: {number}\ndata: {self.service} {self.version} {self.name} "
                    f"{request_id}\n\n").encode()
            writer.write(b"%x\r\n" % len(text) + text + b"\r\n")
            await writer.drain()
            run["events"] += 1
            await asyncio.sleep(self.event_s)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True

    def answer(self, request):
        return f"answer to {request.get('Request-Id')} by {self.name}".encode()

    async def send(self, writer, status, headers, body=b""):
        writer.write(encode(status_line(status), headers, body))
        await writer.drain()
        return True


class Host:
    """An entry host: a process of the project's daemon, as deploy/system.toml starts it."""

    def __init__(self, yard, name, zone, first_port):
        self.yard = yard
        self.name = name
        self.zone = zone
        self.port = first_port
        self.process = None
        self.log = None

    @property
    def front(self):
        return ("127.0.0.1", self.port)

    def settings(self):
        p = self.port
        bounds = "".join(f"  {k}: {v}\n" for k, v in self.yard.bounds.items())
        return (f'node: "{self.name}"\nrole: "entry"\nmachine-class: "front"\n'
                f'serves: ["front", "directory"]\nip: "127.0.0.1"\nzone: "{self.zone}"\n'
                f'region: "r"\nlisten:\n  front: "127.0.0.1:{p}"\n  ready: "127.0.0.1:{p + 1}"\n'
                f'  control: "127.0.0.1:{p + 2}"\n  directory: "127.0.0.1:{p + 3}"\n'
                f'internal-ports: [{p + 4}, {p + 9}]\nseeds: []\nbootstrap: true\n'
                f'limits: {{cpu-share: 1.0, cores: 1, memory-mb: 110, max-fds: 4100, '
                f'link-mbps: 1000.0, disk-mb: 0}}\ndiscovery: "platform"\nentry: "directory"\n'
                f'heartbeat-ms: {int(self.yard.heartbeat * 1000)}\nbounds:\n{bounds}'
                f'platform-params:\n  addr: "{self.yard.store.address}"\n  form: "objects"\n'
                f'  writes-per-s: 400\n  reads-per-s: 2000\n  history-s: 20\n'
                f'  value-bytes: 1048576\n')

    def start(self):
        path = os.path.join(self.yard.folder, self.name + ".yaml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(self.settings())
        self.log = open(os.path.join(self.yard.folder, self.name + ".log"), "ab")
        environment = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        environment.update(self.yard.environment)
        environment["SASSAFRASYARD_SETTINGS"] = path
        self.process = subprocess.Popen(self.yard.command, cwd=ROOT, env=environment,
                                        stdin=subprocess.DEVNULL, stdout=self.log,
                                        stderr=self.log)
        self.yard.record.write(f"host {self.name} starts, process {self.process.pid}")

    def signal(self, number):
        self.yard.record.write(f"host {self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        self.process.wait()

    def is_running(self):
        return self.process is not None and self.process.poll() is None

    async def is_ready(self):
        if not self.is_running():
            return False
        try:
            status, _ = await simple_get("127.0.0.1", self.port + 1, "/ready")
            return status == 200
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            return False


async def simple_get(host, port, target, timeout=1.0):
    reader, writer = await asyncio.wait_for(asyncio.open_connection(host, port), timeout)
    try:
        writer.write(encode(f"GET {target} HTTP/1.1", [("Host", host)]))
        answer = await asyncio.wait_for(read_head(reader), timeout)
        answer.body = await asyncio.wait_for(read_body(reader, answer), timeout)
        return int(answer.first.split(" ")[1]), answer.body
    finally:
        writer.close()


class Result:
    """What a caller saw of one attempt."""

    def __init__(self):
        self.status = None
        self.headers = None
        self.body = b""
        self.complete = False
        self.events = []
        self.error = None

    def __str__(self):
        state = "complete" if self.complete else "cut"
        events = f", events {self.events[0][0]}..{self.events[-1][0]}" if self.events else ""
        return f"status {self.status}, {state}{events}{', ' + self.error if self.error else ''}"


class Yard:
    """A small deployment: store, servers and hosts, with the settings of a small site."""

    def __init__(self, folder):
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.record = Record(folder)
        self.heartbeat = 1.2
        self.bounds = {"seed-lag-s": 3, "addr-reuse-s": 2, "stability-window-ms": 3000,
                       "ack-timeout-ms": 4000, "catch-up-s": 4, "drain-ms": 2000, "grace-s": 8,
                       "loss-slack-ms": 200, "config-apply-ms": 2000, "downgrade-slack-ms": 250,
                       "outer-ms": 5000, "revoke-fail-closed": "true", "revoke-ms": 5000,
                       "retry-budget-ratio": 0.2, "budget-window-s": 10,
                       "retry-budget-slack": 56, "recovery-s": 12, "pass-ms": 120,
                       "again-s": 4.5, "ttl_max_s": 5}
        self.store = Store(self.record)
        self.servers = []
        self.hosts = []
        self.expiry = None
        self.count = 0
        self.environment = {}
        self.command = self.read_command()
        self.used_ports = set()

    def read_command(self):
        with open(os.path.join(ROOT, "deploy", "system.toml"), encoding="utf-8") as file:
            command = re.search(r'^run = "([^"]+)"', file.read(), re.M).group(1).split()
        if "YARD_PROGRAM" in os.environ:
            command[0] = os.environ["YARD_PROGRAM"]
        if not os.access(os.path.join(ROOT, command[0]), os.X_OK):
            raise CannotRun(f"{command[0]} is missing: run the build of the deploy file")
        return command

    def free_ports(self, count):
        """Returns the first of some consecutive free ports below the ephemeral range."""
        for _ in range(500):
            first = random.randrange(12000, 32000 - count)
            if any(p in self.used_ports for p in range(first, first + count)):
                continue
            probes = []
            try:
                for port in range(first, first + count):
                    probe = socket.socket()
                    probes.append(probe)
                    probe.bind(("127.0.0.1", port))
                self.used_ports.update(range(first, first + count))
                return first
            except OSError:
                continue
            finally:
                for probe in probes:
                    probe.close()
        raise CannotRun("no free ports")

    async def start_store(self):
        await self.store.start(self.free_ports(1))
        self.expiry = asyncio.ensure_future(self.expire_entries())

    async def expire_entries(self):
        """Removes entries of servers that were silent for three heartbeats."""
        while True:
            await asyncio.sleep(0.1)
            if self.store.mode != "up":
                self.up_since = time.monotonic()
                continue
            now = time.monotonic()
            for server in self.servers:
                last = max(server.last_beat, getattr(self, "up_since", 0) + 2 - 3 * self.heartbeat)
                if now - last > 3 * self.heartbeat:
                    self.store.remove("servers", server.name)

    def configure(self, version, routes, services, tenants=None):
        """Writes a configuration, as the operator does."""
        spec = {"version": version, "routes": routes, "services": services,
                "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304,
                           "header-timeout-ms": 3000, "idle-timeout-ms": 15000}}
        if tenants is not None:
            spec["tenants"] = [{"name": n, "api-keys": k, "priority": 1}
                               for n, k in tenants.items()]
        self.store.put("config", "main", spec)
        self.record.write(f"operator writes configuration {version}, tenants {tenants}")

    async def add_server(self, service, name, zone="a", **options):
        server = Server(self, service, name, zone, self.free_ports(1), **options)
        self.servers.append(server)
        await server.start()
        return server

    async def add_hosts(self, count, zones=("a", "b")):
        for index in range(count):
            host = Host(self, f"host-{index + 1}", zones[index % len(zones)], self.free_ports(10))
            self.hosts.append(host)
            host.start()
        await self.until_ready(self.hosts)

    async def until_ready(self, hosts, timeout=15.0):
        end = time.monotonic() + timeout
        for host in hosts:
            while not await host.is_ready():
                if time.monotonic() > end:
                    raise CannotRun(f"{host.name} does not get ready")
                await asyncio.sleep(0.05)
            self.record.write(f"host {host.name} is ready")

    def next_id(self):
        self.count += 1
        return f"{self.count:04x}{random.getrandbits(48):012x}"

    async def call(self, host, target, headers=(), body=b"", method="POST", request_id=None,
                   deadline=10.0, on_event=None):
        """Sends one request on a new connection and reads its answer to the end."""
        result = Result()
        result.id = request_id or self.next_id()
        fields = [("Host", "h.example"), ("Request-Id", result.id),
                  ("Deadline-Ms", str(int(deadline * 1000)))] + list(headers)
        self.record.write(f"caller sends {result.id} {method} {target} to {host.name} "
                          + " ".join(f"{n}={v}" for n, v in headers))
        result.sent_at = self.record.now()
        writer = None
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(*host.front), 1.0)
            writer.write(encode(f"{method} {target} HTTP/1.1", fields, body))
            await asyncio.wait_for(self.read_answer(reader, result, on_event), deadline + 1)
        except asyncio.TimeoutError:
            result.error = "no end before the deadline"
        except (OSError, asyncio.IncompleteReadError, ValueError) as fault:
            result.error = f"{type(fault).__name__}"
        finally:
            if writer is not None:
                writer.close()
        self.record.write(f"caller got of {result.id}: {result}")
        return result

    async def read_answer(self, reader, result, on_event):
        answer = await read_head(reader)
        result.status = int(answer.first.split(" ")[1])
        result.headers = answer
        if (answer.get("Content-Type") or "") != "text/event-stream":
            result.body = await read_body(reader, answer)
            result.complete = True
            return
        text = ""
        while chunk := await read_chunk(reader):
            text += chunk.decode("latin-1")
            while "\n\n" in text:
                event, text = text.split("\n\n", 1)
                fields = dict(line.split(": ", 1) for line in event.split("\n"))
                result.events.append((int(fields["id"]), fields["data"]))
                if on_event:
                    on_event(result)
        result.complete = True

    async def stop(self):
        if self.expiry:
            self.expiry.cancel()
        for host in self.hosts:
            if host.is_running():
                try:
                    host.process.send_signal(signal.SIGCONT)
                    host.process.kill()
                except OSError:
                    pass
                host.process.wait()
        for server in self.servers:
            if server.is_up:
                server.crash()
        self.store.http.stop()
        if os.environ.get("YARD_KEEP"):
            print("logs in", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def route(name, kind, service, timeout_ms, public=True, **further):
    fields = {"name": name, "host": "h.example", "path-prefix": f"/{name}/", "kind": kind,
              "timeout-ms": timeout_ms, "target-latency-ms": 1500, "priority": 0,
              "service": service, "max-attempts": 2, "auth-exempt": public}
    fields.update(further)
    return fields


def service(name, **engine):
    fields = {"name": name, "health-path": "/health", "max-connections": 232, "protocol": "h1",
              "tls": False}
    if engine:
        fields["engine"] = dict({"slots": 8, "kv-capacity-tokens": 100000, "stride": 1,
                                 "kv-token-bytes": 1, "link-mbps": 28000.0,
                                 "handle-s": 5.0, "moves": False, "backups": False}, **engine)
    return fields


def play(case, script):
    """Runs a case: an async function of (yard, trouble) that returns what broke the rule."""
    folder = os.path.dirname(os.path.abspath(script))
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        yard = Yard(folder)
        try:
            return await asyncio.wait_for(case(yard, trouble), 115)
        finally:
            await yard.stop()

    # An end from outside also ends the processes that the case started.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    try:
        faults = asyncio.run(run())
    except (CannotRun, asyncio.TimeoutError) as fault:
        print("could not run:", fault or type(fault).__name__)
        sys.exit(NOT_RUN)
    for fault in faults:
        print(fault)
    print("rule", "broken" if faults else "held")
    sys.exit(BROKEN if faults else HELD)
