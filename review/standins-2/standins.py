"""Stand-ins for the platform's store, for replicas and for clients, all on loopback addresses."""

import json
import os
import pathlib
import random
import re
import select
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
STARTED = time.monotonic()


def now_ms():
    """Milliseconds since the script began."""
    return int((time.monotonic() - STARTED) * 1000)


class Record:
    """Writes what was sent, answered and run, with the time in milliseconds."""

    def __init__(self, path):
        self.lock = threading.Lock()
        self.file = open(path, "w", encoding="utf-8")

    def add(self, text):
        with self.lock:
            self.file.write(f"{now_ms():7d} {text}\n")
            self.file.flush()


class Request:
    """A parsed HTTP request or response head with its body."""

    def __init__(self, first_line, headers, body):
        self.first_line = first_line
        self.headers = headers
        self.body = body
        parts = first_line.split(" ", 2)
        self.method = parts[0]
        self.target = parts[1] if len(parts) > 1 else ""
        self.path, _, query = self.target.partition("?")
        self.query = dict(urllib.parse.parse_qsl(query))

    def header(self, name, default=""):
        for key, value in self.headers:
            if key.lower() == name.lower():
                return value
        return default


class Reader:
    """Buffered reads of HTTP messages from a socket."""

    def __init__(self, sock):
        self.sock = sock
        self.buffer = b""

    def fill(self):
        data = self.sock.recv(65536)
        if not data:
            raise EOFError
        self.buffer += data

    def until(self, mark):
        while mark not in self.buffer:
            self.fill()
        head, _, self.buffer = self.buffer.partition(mark)
        return head

    def exactly(self, count):
        while len(self.buffer) < count:
            self.fill()
        data, self.buffer = self.buffer[:count], self.buffer[count:]
        return data

    def head(self):
        lines = self.until(b"\r\n\r\n").decode("latin-1").split("\r\n")
        headers = []
        for line in lines[1:]:
            name, _, value = line.partition(":")
            headers.append((name.strip(), value.strip()))
        return lines[0], headers

    def request(self):
        first, headers = self.head()
        request = Request(first, headers, b"")
        if "chunked" in request.header("Transfer-Encoding").lower():
            request.body = self.chunked()
        else:
            request.body = self.exactly(int(request.header("Content-Length", "0") or 0))
        return request

    def chunked(self):
        body = b""
        while True:
            size = int(self.until(b"\r\n").split(b";")[0], 16)
            if size == 0:
                self.until(b"\r\n")
                return body
            body += self.exactly(size)
            self.exactly(2)


class Server:
    """Accepts connections and hands each request to serve(connection, request)."""

    def __init__(self, address="127.0.0.1", port=0):
        self.address = address
        self.listener = None
        self.connections = set()
        self.lock = threading.RLock()
        self.port = port
        self.listen()

    @property
    def endpoint(self):
        return f"{self.address}:{self.port}"

    def listen(self):
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((self.address, self.port))
        listener.listen(256)
        self.port = listener.getsockname()[1]
        self.listener = listener
        threading.Thread(target=self.accept, args=(listener,), daemon=True).start()

    def accept(self, listener):
        while True:
            try:
                sock, _ = listener.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self.lock:
                self.connections.add(sock)
            threading.Thread(target=self.connection, args=(sock,), daemon=True).start()

    def connection(self, sock):
        reader = Reader(sock)
        try:
            while self.serve(sock, reader.request()):
                pass
        except (EOFError, OSError, ValueError):
            pass
        finally:
            with self.lock:
                self.connections.discard(sock)
            sock.close()

    def serve(self, sock, request):
        """Answers a request. Returns whether the connection stays open."""
        raise NotImplementedError

    def stop(self, reset=False):
        """Closes the listener and all connections, as the end of the process does."""
        self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        with self.lock:
            for sock in list(self.connections):
                abort(sock) if reset else hang_up(sock)


def abort(sock):
    """Resets a connection."""
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        sock.shutdown(socket.SHUT_RD)
        sock.close()
    except OSError:
        pass


def hang_up(sock):
    """Closes a connection in an orderly way."""
    try:
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass


REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found", 409: "Conflict", 410: "Gone",
           421: "Misdirected Request", 429: "Too Many Requests", 503: "Service Unavailable"}


def response(status, headers=(), body=b""):
    """Formats a response with a length."""
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Store(Server):
    """The platform's store: objects by kind and name, watches, a restore from a copy."""

    def __init__(self, record):
        self.record = record
        self.revision = 100
        self.objects = {}
        self.history = []
        self.era = 1
        self.copy = None
        self.is_down = False
        self.change = threading.Condition()
        super().__init__()

    def put(self, kind, name, spec):
        with self.change:
            self.revision += 1
            objects = self.objects.setdefault(kind, {})
            created = objects[name]["metadata"]["create-rev"] if name in objects else self.revision
            item = {"metadata": {"name": name, "revision": self.revision, "create-rev": created,
                                 "finalizers": [], "deleting": False},
                    "spec": spec, "status": None}
            objects[name] = item
            self.history.append((self.revision, kind, item, False))
            self.change.notify_all()
            return item

    def remove(self, kind, name):
        with self.change:
            item = self.objects.get(kind, {}).pop(name, None)
            if item is None:
                return None
            self.revision += 1
            item = json.loads(json.dumps(item))
            item["metadata"]["revision"] = self.revision
            self.history.append((self.revision, kind, item, True))
            self.change.notify_all()
            return item

    def keep_copy(self):
        """Keeps a copy of the present content, from which restore() starts a new era."""
        with self.change:
            self.copy = (self.revision, json.loads(json.dumps(self.objects)), list(self.history))

    def go_down(self):
        """Refuses all calls and cuts the watches that wait."""
        with self.change:
            self.is_down = True
            self.change.notify_all()

    def restore(self):
        """Comes back from the copy, with the next era."""
        with self.change:
            revision, objects, history = self.copy
            self.revision, self.objects, self.history = (
                revision, json.loads(json.dumps(objects)), list(history))
            self.era += 1
            self.is_down = False
            self.change.notify_all()

    def answer(self, sock, status, body, era):
        sock.sendall(response(status, [("Content-Type", "application/json"),
                                       ("Store-Era", era)],
                              json.dumps(body).encode()))
        return True

    def serve(self, sock, request):
        parts = request.path.split("/")
        kind = urllib.parse.unquote(parts[2]) if len(parts) > 2 else ""
        name = urllib.parse.unquote(parts[3]) if len(parts) > 3 else ""
        with self.change:
            era = self.era
            if self.is_down:
                return self.answer(sock, 503, {}, era)
            if request.method == "GET" and "watch" in request.query:
                status, body = self.watch(kind, request)
            elif request.method == "GET":
                status, body = self.read(kind, name)
            else:
                status, body = self.write(kind, name, request, parts)
        return self.answer(sock, status, body, era)

    def read(self, kind, name):
        objects = self.objects.get(kind, {})
        if name:
            return (200, objects[name]) if name in objects else (404, {})
        return 200, {"items": [objects[key] for key in sorted(objects)], "has-more": False,
                     "current-rev": self.revision}

    def watch(self, kind, request):
        since = int(request.query["watch"])
        end = time.monotonic() + int(request.query.get("wait-ms", "0")) / 1000
        era = self.era
        while True:
            if self.is_down or self.era != era:
                return 503, {}
            if since > self.revision:
                return 410, {}
            events = [{"removed": removed, "object": item}
                      for revision, of, item, removed in self.history
                      if of == kind and revision > since]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "current-rev": self.revision}
            self.change.wait(left)

    def write(self, kind, name, request, parts):
        if request.method == "DELETE":
            item = self.remove(kind, name)
            return (200, item) if item else (404, {})
        body = json.loads(request.body or b"{}")
        metadata = body.get("metadata", {})
        objects = self.objects.get(kind, {})
        if request.method == "POST":
            if metadata["name"] in objects:
                return 409, objects[metadata["name"]]
            return 200, self.put(kind, metadata["name"], body.get("spec"))
        if name not in objects:
            return 404, {}
        if "revision" in metadata and metadata["revision"] != objects[name]["metadata"]["revision"]:
            return 409, objects[name]
        if objects[name]["spec"] == body.get("spec"):
            return 200, objects[name]
        return 200, self.put(kind, name, body.get("spec"))


class Replica(Server):
    """A replica that registers itself; run(sock, request) answers what it accepted."""

    def __init__(self, record, store, name, service, version="v1", slots=16, **more):
        self.record = record
        self.store = store
        self.name = name
        self.service = service
        self.version = version
        self.slots = slots
        self.more = more
        self.zone = "z1"
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.call_seq = 0
        super().__init__()

    def spec(self):
        self.call_seq += 1
        return {"service": self.service, "addr": self.endpoint, "zone": self.zone,
                "version": self.version, "slots": self.slots, "state": self.state,
                "cold-left-ms": 0, "call-seq": self.call_seq, "born": self.born, **self.more}

    def register(self, state="ready"):
        self.state = state
        self.store.put("servers", self.name, self.spec())
        self.record.add(f"store: entry {self.name} {state} version {self.version}")

    def serve(self, sock, request):
        expected = request.header("Expect-Replica")
        if expected and expected != self.name:
            sock.sendall(response(421, [("Replica-Id", self.name), ("Not-Executed", "1")]))
            return True
        return self.run(sock, request)

    def run(self, sock, request):
        raise NotImplementedError

    def stamp(self):
        return "3e1b.07.5a2.600.0." + self.name


def free_port(address="127.0.0.1"):
    with socket.socket() as probe:
        probe.bind((address, 0))
        return probe.getsockname()[1]


GIVEN_PORTS = set()


def free_ports(count, address="127.0.0.1"):
    """Finds a run of free ports on an address; each is given out once."""
    for _ in range(1000):
        # Below the range from which the system gives out ports to connections.
        first = random.randrange(15000, 32000, count)
        if first in GIVEN_PORTS:
            continue
        held = []
        try:
            for port in range(first, first + count):
                probe = socket.socket()
                probe.bind((address, port))
                held.append(probe)
            GIVEN_PORTS.add(first)
            return first
        except OSError:
            continue
        finally:
            for probe in held:
                probe.close()
    raise OSError("no free ports")


class Host:
    """A process of the system, started with the command of the deploy file."""

    def __init__(self, record, directory, store, name, address="127.0.0.1", zone="z1", **bounds):
        self.record = record
        self.name = name
        self.address = address
        self.first = free_ports(12, address)
        self.front = self.first
        self.ready = self.first + 1
        self.directory_port = self.first + 2
        self.settings_path = pathlib.Path(directory) / f"{name}.yaml"
        self.log_path = pathlib.Path(directory) / f"{name}.log"
        self.settings_path.write_text(self.settings(store, zone, bounds), encoding="utf-8")
        self.process = None

    def settings(self, store, zone, bounds):
        # The bounds of dsm-yard-grown.
        limits = {"seed-lag-s": 3, "addr-reuse-s": 2, "stability-window-ms": 4000,
                  "ack-timeout-ms": 6000, "catch-up-s": 6, "drain-ms": 3000, "grace-s": 8,
                  "loss-slack-ms": 200, "config-apply-ms": 3000, "downgrade-slack-ms": 250,
                  "outer-ms": 6000, "revoke-fail-closed": True, "revoke-ms": 5000,
                  "retry-budget-ratio": 0.2, "budget-window-s": 10, "retry-budget-slack": 178,
                  "recovery-s": 15, "pass-ms": 200, "again-s": 7.9, "ttl_max_s": 5}
        limits.update({key.replace("_", "-") if key != "ttl_max_s" else key: value
                       for key, value in bounds.items()})
        text = json.dumps
        lines = [f"node: {text(self.name)}", 'role: "entry"', 'machine-class: "front"',
                 'serves: ["front", "directory"]', f"ip: {text(self.address)}",
                 f"zone: {text(zone)}", 'region: "r1"', f'zones: {{{zone}: "r1"}}',
                 "listen:",
                 f'  front: "{self.address}:{self.front}"',
                 f'  ready: "{self.address}:{self.ready}"',
                 f'  directory: "{self.address}:{self.directory_port}"',
                 "internal-ports:", f"  - {self.first + 3}", f"  - {self.first + 11}",
                 "seeds: []", "bootstrap: true", "fault-counted: false",
                 "limits:", "  cpu-share: 0.12", "  cores: 1", "  memory-mb: 160",
                 "  max-fds: 4100", "  link-mbps: 10.0", "  disk-mb: 0", "data-dir: null",
                 'discovery: "platform"', 'entry: "directory"', "heartbeat-ms: 1200",
                 'contracts: ["base", "drain", "config", "cost", "retry", "recover", "engine", '
                 '"stream", "tenants", "platform"]',
                 "bounds:"]
        lines += [f"  {key}: {text(value)}" for key, value in limits.items()]
        lines += ["platform-params:", f'  addr: "{store.endpoint}"', '  form: "objects"',
                  "  writes-per-s: 1200", "  reads-per-s: 6000", "  history-s: 20",
                  "  value-bytes: 1048576"]
        return "\n".join(lines) + "\n"

    def start(self):
        command = deploy_command()
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG")
                       if key in os.environ}
        environment["SASSAFRASYARD_SETTINGS"] = str(self.settings_path)
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(command, cwd=ROOT, env=environment, stdout=log,
                                            stderr=log, stdin=subprocess.DEVNULL)
        self.record.add(f"host {self.name}: started, front {self.address}:{self.front}")

    def signal(self, number):
        self.record.add(f"host {self.name}: {signal.Signals(number).name}")
        self.process.send_signal(number)

    def kill(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process is not None:
            self.process.wait()

    def is_ready(self):
        try:
            status, _, _ = exchange(self.address, self.ready, "GET /ready", timeout=1)
            return status == 200
        except (OSError, EOFError, ValueError):
            return False

    def wait_until_ready(self, limit=20.0):
        end = time.monotonic() + limit
        while time.monotonic() < end:
            if self.is_ready():
                self.record.add(f"host {self.name}: ready")
                return
            time.sleep(0.05)
        raise CannotRun(f"{self.name} did not become ready")

    def has_ended(self):
        return self.process.poll() is not None


class CannotRun(Exception):
    """The case could not be played."""


def deploy_command():
    """Returns the words of `run` in the deploy file."""
    text = (ROOT / "deploy" / "system.toml").read_text(encoding="utf-8")
    command = re.search(r'^run\s*=\s*"([^"]+)"', text, re.M).group(1).split()
    command[0] = str(ROOT / command[0])
    if not os.access(command[0], os.X_OK):
        raise CannotRun(f"{command[0]} is not built")
    return command


def head_text(line, headers):
    return (line + " HTTP/1.1\r\n" + "".join(f"{k}: {v}\r\n" for k, v in headers)
            + "\r\n").encode("latin-1")


def exchange(address, port, line, headers=(), body=b"", timeout=10.0, on_event=None):
    """
    Sends a request on a new connection and reads the whole answer.

    Returns (status, headers, body); raises EOFError if the answer ends early.
    """
    sock = socket.create_connection((address, port), timeout=timeout)
    try:
        sock.settimeout(timeout)
        headers = list(headers)
        if not any(name.lower() == "host" for name, _ in headers):
            headers.insert(0, ("Host", "h.example"))
        if body or line.startswith("POST"):
            headers.append(("Content-Length", str(len(body))))
        sock.sendall(head_text(line, headers) + body)
        reader = Reader(sock)
        first, answered = reader.head()
        answer = Request(first, answered, b"")
        status = int(first.split(" ")[1])
        if "chunked" in answer.header("Transfer-Encoding").lower():
            data = b""
            while True:
                size = int(reader.until(b"\r\n").split(b";")[0], 16)
                if size == 0:
                    reader.until(b"\r\n")
                    return status, answered, data
                data += reader.exactly(size)
                reader.exactly(2)
                if on_event:
                    on_event(data)
        return status, answered, reader.exactly(int(answer.header("Content-Length", "0")))
    finally:
        sock.close()


class Case:
    """Runs a script: temporary folder, record, processes that end with it, exit status."""

    def __init__(self, script):
        folder = pathlib.Path(script).resolve().parent
        self.record = Record(folder / "record.txt")
        self.directory = tempfile.mkdtemp(prefix="sassafrasyard-case-")
        self.hosts = []
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"
        self.store = Store(self.record)
        self.record.add(f"TROUBLE={'1' if self.has_trouble else '0'}")

    def host(self, name, **options):
        host = Host(self.record, self.directory, self.store, name, **options)
        self.hosts.append(host)
        return host

    def end(self, status, text):
        self.record.add(f"result {status}: {text}")
        print(text)
        for host in self.hosts:
            host.kill()
        if os.environ.get("KEEP_LOGS"):
            for host in self.hosts:
                shutil.copy(host.log_path, os.environ["KEEP_LOGS"])
        shutil.rmtree(self.directory, ignore_errors=True)
        sys.stdout.flush()
        os._exit(status)

    def play(self, function):
        """Calls function(case), which returns (is_broken, text)."""
        def expire():
            self.end(2, "the case took too long")
        guard = threading.Timer(110, expire)
        guard.daemon = True
        guard.start()
        signal.signal(signal.SIGTERM, lambda *_: self.end(2, "ended by a signal"))
        try:
            is_broken, text = function(self)
        except CannotRun as fault:
            self.end(2, f"the case could not run: {fault}")
        except Exception as fault:  # pylint: disable=broad-except
            self.end(2, f"the case could not run: {type(fault).__name__}: {fault}")
        self.end(1 if is_broken else 0, ("BROKEN: " if is_broken else "held: ") + text)


def configuration(version, routes, services, tenants=None):
    """Returns a configuration as the operator writes it."""
    value = {"version": version, "routes": routes, "services": services,
             "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304,
                        "header-timeout-ms": 3000, "idle-timeout-ms": 15000}}
    if tenants is not None:
        value["tenants"] = tenants
    return value


def route(name, prefix, kind, service, **more):
    """Returns a route of a configuration."""
    value = {"name": name, "host": "h.example", "path-prefix": prefix, "kind": kind,
             "timeout-ms": 30000, "target-latency-ms": 1500, "priority": 1, "service": service,
             "max-attempts": 1, "auth-exempt": True, "sticky": kind == "streaming"}
    if kind == "streaming":
        value.update({"resumable": False, "gap-aim-ms": 180})
    value.update({key.replace("_", "-"): item for key, item in more.items()})
    return value


ENGINE = {"slots": 24, "kv-capacity-tokens": 26965, "kv-token-bytes": 192512,
          "link-mbps": 28000.0, "moves": True, "backups": False, "stride": 1, "most": 12,
          "pin-ms": 4000.0, "hold-ms": 2000.0, "handle-s": 5.0, "models": [{"name": "m"}]}
