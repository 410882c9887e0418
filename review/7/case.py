"""Two replicas of a large service run a new version; clients take its streams up at all hosts."""

import pathlib
import socket
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins-2"))
from standins import (CannotRun, Case, ENGINE, Reader, Replica, configuration,  # noqa: E402
                      head_text, response, route)

# The replicas of both services as in the users' grown deployment, with fewer hosts.
REPLICAS = 60
PLAIN_REPLICAS = 5
ZONES = 5
HOSTS = 14
# How many of the replicas a release has replaced so far.
NEW = 2
EVENTS = 200
INTERVAL = 0.05
# How many streams are taken up, and how many new ones begin, at each host.
PER_HOST = 2
WAVE = 140


class Engine(Replica):
    """Writes an event of a run each INTERVAL; each event names the version that wrote it."""

    def run(self, sock, request):
        if request.path.startswith("/kv-"):
            sock.sendall(response(404))
            return True
        identifier = request.header("Request-Id")
        last = int(request.header("Last-Event-Id", "0"))
        if last or self.version != "v1":
            self.record.add(f"{self.name} ({self.version}): runs {identifier} from event {last + 1}")
        head = ["HTTP/1.1 200 OK", f"Request-Id: {identifier}", f"Replica-Stamp: {self.stamp()}",
                "Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
        time.sleep(INTERVAL)
        sock.sendall(("\r\n".join(head) + "\r\n\r\n").encode())
        for number in range(last + 1, EVENTS + 1):
            event = f"id: {number}\ndata: {self.version}\n\n".encode()
            sock.sendall(b"%x\r\n%s\r\n" % (len(event), event))
            time.sleep(INTERVAL)
        sock.sendall(b"0\r\n\r\n")
        return True


class Stream:
    """One client attempt, whose connection breaks after some events."""

    def __init__(self, record, host, identifier, headers=()):
        self.record = record
        self.host = host
        self.identifier = identifier
        self.headers = list(headers)
        self.status = 0
        self.last = 0
        self.versions = set()
        self.thread = None

    def start(self, limit):
        self.thread = threading.Thread(target=self.read, args=(limit,))
        self.thread.start()
        return self

    def read(self, limit):
        try:
            with socket.create_connection(("127.0.0.1", self.host.front), timeout=10) as sock:
                headers = [("Host", "h.example"), ("Request-Id", self.identifier),
                           ("Model", "m"), ("Token-Counts", "100,200"),
                           ("Prompt-Prefix", f"{self.identifier}:100"), ("Deadline-Ms", "6000"),
                           ("Content-Length", "2"), *self.headers]
                sock.sendall(head_text("POST /check/1", headers) + b"{}")
                reader = Reader(sock)
                first, _ = reader.head()
                self.status = int(first.split(" ")[1])
                got = 0
                while self.status == 200 and got < limit:
                    size = int(reader.until(b"\r\n"), 16)
                    if size == 0:
                        return
                    for line in reader.exactly(size).decode().split("\n"):
                        if line.startswith("id: "):
                            self.last = int(line[4:])
                            got += 1
                        elif line.startswith("data: "):
                            self.versions.add(line[6:])
                    reader.exactly(2)
        except (EOFError, OSError, ValueError):
            pass

    def describe(self):
        return (f"{self.identifier} at {self.host.name}: status {self.status}, last event "
                f"{self.last}, versions {sorted(self.versions)}")


def begin(case, hosts, count, first):
    """Begins streams at all hosts in turn and breaks them off after two events."""
    streams = [Stream(case.record, hosts[index % HOSTS], f"{first + index:016x}").start(2)
               for index in range(count)]
    for stream in streams:
        stream.thread.join(20)
    return streams


def play(case):
    routes = [route("check", "/check/", "streaming", "engines", resumable=True, max_attempts=2,
                    timeout_ms=6000)]
    services = [{"name": "engines", "max-connections": 612,
                 "engine": dict(ENGINE, moves=False, backups=False)},
                {"name": "desk", "max-connections": 470}]
    case.store.put("config", "main", configuration(1, routes, services))
    for index in range(REPLICAS):
        version = "v2" if case.has_trouble and index < NEW else "v1"
        engine = Engine(case.record, case.store, f"i-{index:02}", "engines", slots=24,
                        version=version)
        engine.zone = f"z{index % ZONES}"
        engine.register()
    for index in range(PLAIN_REPLICAS):
        desk = Engine(case.record, case.store, f"d-{index}", "desk", slots=6)
        desk.zone = f"z{index % ZONES}"
        desk.register()
    hosts = [case.host(f"front-{index}", zone=f"z{index % ZONES}") for index in range(HOSTS)]
    for host in hosts:
        host.start()
    for host in hosts:
        host.wait_until_ready()
    # The hosts are in touch.
    time.sleep(4.5)
    wanted = PER_HOST * HOSTS
    broken = []
    for wave in range(24):
        if len(broken) >= wanted:
            break
        wanted_versions = {"v2"} if case.has_trouble else {"v1"}
        broken += [stream for stream in begin(case, hosts, WAVE, 0xddd0000 + wave * WAVE)
                   if stream.versions == wanted_versions]
    if len(broken) < wanted:
        raise CannotRun(f"only {len(broken)} streams began at the replicas of the new version")
    broken = broken[:wanted]
    for stream in broken:
        case.record.add(f"client: broken off: {stream.describe()}")
    # Each host gets as many of them.
    taken_up = [Stream(case.record, hosts[index % HOSTS], stream.identifier + "b",
                       [("Resumes", stream.identifier),
                        ("Last-Event-Id", str(stream.last))]).start(3)
                for index, stream in enumerate(broken)]
    for stream in taken_up:
        stream.thread.join(20)
        case.record.add(f"client: taken up: {stream.describe()}")
    fresh = begin(case, hosts, wanted, 0xeee0000)
    gone_on = sum(bool(stream.versions) for stream in taken_up)
    begun = sum(bool(stream.versions) for stream in fresh)
    if begun < wanted / 2:
        raise CannotRun(f"only {begun} of {wanted} new streams begin")
    text = (f"{gone_on} of {wanted} streams that clients took up go on, "
            f"{begun} of {wanted} new streams begin")
    return gone_on / wanted < begun / wanted / 2, text


Case(__file__).play(play)
