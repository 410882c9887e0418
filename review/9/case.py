"""A replica starts again under its id with another software version; streams begin before it says so."""

import pathlib
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins-2"))
from standins import (CannotRun, Case, ENGINE, Reader, Replica, Request, configuration,  # noqa: E402
                      head_text, response, route)
import socket  # noqa: E402

EVENTS = 60
INTERVAL = 0.1
STREAMS = 12
HEARTBEAT = 1.2


class Engine(Replica):
    """Writes an event of a run each INTERVAL; each event names the version that wrote it."""

    def run(self, sock, request):
        if request.path.startswith("/kv-"):
            sock.sendall(response(404))
            return True
        identifier = request.header("Request-Id")
        last = int(request.header("Last-Event-Id", "0"))
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


class Caller:
    """A client that breaks its stream off after some events and takes it up."""

    def __init__(self, record, port, identifier):
        self.record = record
        self.port = port
        self.identifier = identifier
        self.events = []
        self.status = []

    def read(self, headers, limit):
        with socket.create_connection(("127.0.0.1", self.port), timeout=10) as sock:
            headers = [("Host", "h.example"), ("Model", "m"), ("Token-Counts", "100,60"),
                       ("Prompt-Prefix", f"{self.identifier}:100"), ("Deadline-Ms", "20000"),
                       ("Content-Length", "2"), *headers]
            sock.sendall(head_text("POST /check/1", headers) + b"{}")
            reader = Reader(sock)
            first, answered = reader.head()
            self.status.append(int(first.split(" ")[1]))
            if self.status[-1] != 200:
                return
            if "chunked" not in Request(first, answered, b"").header("Transfer-Encoding"):
                return
            got = 0
            while got < limit:
                size = int(reader.until(b"\r\n"), 16)
                if size == 0:
                    return
                for event in reader.exactly(size).decode().split("\n\n"):
                    fields = dict(line.split(": ", 1) for line in event.split("\n") if ": " in line)
                    if fields:
                        self.events.append((int(fields["id"]), fields["data"]))
                        got += 1
                reader.exactly(2)

    def play(self, limit):
        try:
            self.read([("Request-Id", self.identifier)], limit)
            self.record.add(f"client: {self.identifier} broken off after {self.describe()}")
            self.read([("Request-Id", self.identifier + "b"), ("Resumes", self.identifier),
                       ("Last-Event-Id", str(self.events[-1][0]))], EVENTS)
        except (EOFError, OSError, IndexError) as fault:
            self.record.add(f"client: {self.identifier} {type(fault).__name__}")
        self.record.add(f"client: {self.identifier} status {self.status}, {self.describe()}")

    def describe(self):
        counts = {}
        for _, version in self.events:
            counts[version] = counts.get(version, 0) + 1
        return "events of " + ", ".join(f"{key} x {value}" for key, value in counts.items())

    def versions(self):
        return {version for _, version in self.events}


def play(case):
    routes = [route("check", "/check/", "streaming", "engines", resumable=True, max_attempts=2)]
    services = [{"name": "engines", "max-connections": 232,
                 "engine": dict(ENGINE, moves=False, backups=False)}]
    case.store.put("config", "main", configuration(1, routes, services))
    engines = [Engine(case.record, case.store, f"i-{index}", "engines", slots=24)
               for index in (1, 2)]
    for engine in engines:
        engine.register()
    host = case.host("front-1")
    host.start()
    host.wait_until_ready()
    time.sleep(1.0)
    if case.has_trouble:
        case.record.add("i-1: ends")
        engines[0].stop()
        time.sleep(0.2)
        engines[0].version = "v2"
        engines[0].born = int(time.time() * 1000)
        engines[0].listen()
        case.record.add("i-1: has started again as v2, same id and address")
    callers = [Caller(case.record, host.front, f"{0xaaa000 + index:016x}")
               for index in range(STREAMS)]
    threads = [threading.Thread(target=caller.play, args=(25,)) for caller in callers]
    for thread in threads:
        thread.start()
    # The first entry of the new process; replicas write each heartbeat.
    time.sleep(HEARTBEAT / 2)
    if case.has_trouble:
        engines[0].register()
    for thread in threads:
        thread.join(60)
    resumed = sum(caller.status == [200, 200] for caller in callers)
    mixed = [caller for caller in callers if len(caller.versions()) > 1]
    if not case.has_trouble and resumed < STREAMS:
        raise CannotRun(f"only {resumed} streams were taken up")
    text = (f"{len(mixed)} of {STREAMS} streams hold events of two software versions, "
            f"{resumed} were taken up")
    return len(mixed) > 2, text


Case(__file__).play(play)
