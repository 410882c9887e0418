"""An engine that leaves stops a run whose stream has neither a length nor chunks."""

import pathlib
import json
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins-2"))
from standins import (Case, ENGINE, Replica, configuration, exchange, response,  # noqa: E402
                      route)

EVENTS = 80
INTERVAL = 0.05
REQUESTS = 6


class Engine(Replica):
    """
    Writes an event of a run each INTERVAL. Its streams have no length and no chunks, and end with
    their connection, if is_framed is false.
    """

    def __init__(self, *arguments, is_framed=False, **more):
        super().__init__(*arguments, **more)
        self.is_framed = is_framed
        self.runs = {}
        self.handles = {}
        self.peers = {}
        self.state_lock = threading.Lock()

    def run(self, sock, request):
        if request.path == "/kv-move":
            return self.move(sock, json.loads(request.body))
        if request.path.startswith("/kv-handle/"):
            self.handles.pop(request.path.rsplit("/", 1)[1], None)
            sock.sendall(response(200))
            return True
        identifier = request.header("Request-Id")
        source = request.header("Kv-From")
        last = int(request.header("Last-Event-Id", "0"))
        if source:
            address, _, handle = source.rpartition("/")
            owner = self if address == self.endpoint else self.peers.get(address)
            if owner is None or owner.handles.pop(handle, None) is None:
                self.record.add(f"{self.name}: {identifier} refused, no copy {source}")
                sock.sendall(response(503, [("Request-Id", identifier), ("Not-Executed", "1")]))
                return True
        self.record.add(f"{self.name}: runs {identifier} from event {last + 1}"
                        + (f" with the copy {source}" if source else ""))
        run = {"sent": last, "stopped": False}
        with self.state_lock:
            self.runs[identifier] = run
        head = ["HTTP/1.1 200 OK", f"Request-Id: {identifier}", f"Replica-Stamp: {self.stamp()}",
                "Content-Type: text/event-stream"]
        if self.is_framed:
            head.append("Transfer-Encoding: chunked")
        else:
            head.append("Connection: close")
        sock.sendall(("\r\n".join(head) + "\r\n\r\n").encode())
        while run["sent"] < EVENTS:
            time.sleep(INTERVAL)
            with self.state_lock:
                if run["stopped"]:
                    # Closed without its end: no last chunk, or simply closed.
                    self.record.add(f"{self.name}: {identifier} stopped after event {run['sent']}")
                    return False
                number = run["sent"] + 1
                event = f"id: {number}\ndata: {identifier} {number}\n\n".encode()
                if self.is_framed:
                    event = b"%x\r\n%s\r\n" % (len(event), event)
                sock.sendall(event)
                run["sent"] = number
        with self.state_lock:
            self.runs.pop(identifier, None)
        if self.is_framed:
            sock.sendall(b"0\r\n\r\n")
        self.record.add(f"{self.name}: {identifier} complete after event {EVENTS}")
        return self.is_framed

    def move(self, sock, order):
        with self.state_lock:
            run = self.runs.get(order["id"])
            if run is None:
                sock.sendall(response(404))
                return True
            if order["last"]:
                run["stopped"] = True
                self.runs.pop(order["id"])
            handle = "c" + order["id"]
            self.handles[handle] = order["id"]
            made = run["sent"]
        time.sleep(0.03 if not order["last"] else 3 * INTERVAL)
        self.record.add(f"{self.name}: /kv-move {order['id']} last={order['last']}, events {made}")
        body = json.dumps({"handle": handle, "create-rev": made}).encode()
        sock.sendall(response(200, [("Content-Type", "application/json")], body))
        return True


def play(case):
    is_framed = sys.argv[1:] == ["framed"]
    routes = [route("plan", "/plan/", "streaming", "engines")]
    services = [{"name": "engines", "max-connections": 232, "engine": ENGINE}]
    case.store.put("config", "main", configuration(1, routes, services))
    engines = [Engine(case.record, case.store, f"i-{index}", "engines", is_framed=is_framed)
               for index in (1, 2)]
    for engine in engines:
        engine.peers = {other.endpoint: other for other in engines}
    engines[0].register()
    host = case.host("front-1")
    host.start()
    host.wait_until_ready()
    results = {}

    def call(index):
        identifier = f"{0xabc0 + index:016x}"
        headers = [("Request-Id", identifier), ("Model", "m"), ("Token-Counts", "100,80"),
                   ("Prompt-Prefix", f"{index:x}:100"), ("Deadline-Ms", "30000")]
        try:
            status, _, body = exchange("127.0.0.1", host.front, "POST /plan/1", headers, b"{}", 30)
            numbers = [int(line[4:]) for line in body.decode().split("\n")
                       if line.startswith("id: ")]
            results[identifier] = (status, numbers)
            case.record.add(f"client: {identifier} status {status}, complete answer, "
                            f"{len(numbers)} events, last {numbers[-1] if numbers else 0}")
        except (EOFError, OSError) as fault:
            results[identifier] = (0, [])
            case.record.add(f"client: {identifier} broken off ({type(fault).__name__})")

    threads = [threading.Thread(target=call, args=(index,)) for index in range(REQUESTS)]
    for thread in threads:
        thread.start()
    time.sleep(1.0)
    engines[1].register()
    time.sleep(0.8)
    if case.has_trouble:
        engines[0].register("draining")
    for thread in threads:
        thread.join(60)
    truncated = [identifier for identifier, (status, numbers) in results.items()
                 if status == 200 and numbers != list(range(1, EVENTS + 1))]
    complete = sum(numbers == list(range(1, EVENTS + 1)) for _, numbers in results.values())
    text = (f"{len(truncated)} of {REQUESTS} streams ended as complete with events missing, "
            f"{complete} have all {EVENTS} events")
    return bool(truncated), text


Case(__file__).play(play)
