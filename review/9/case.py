"""A version of the configuration adds routes to new services, beyond twenty services in all."""

import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins-2"))
from standins import CannotRun, Case, Replica, configuration, exchange, response, route  # noqa: E402

CONFIG_APPLY_MS = 3000
FIRST = 20
ADDED = 2
HOSTS = 3
REQUESTS = 30


class Desk(Replica):
    """A plain replica that answers each request at once."""

    def run(self, sock, request):
        identifier = request.header("Request-Id")
        sock.sendall(response(200, [("Request-Id", identifier), ("Replica-Stamp", self.stamp())],
                              self.service.encode()))
        return True


def play(case):
    added = ADDED if case.has_trouble else 0
    old = [f"team-{index:02}" for index in range(FIRST)]
    new = [f"desk-{index:02}" for index in range(ADDED)] if added else old[:ADDED]

    def write(version, services):
        routes = [route(name, f"/{name}/", "non_idempotent", name, timeout_ms=1500,
                        target_latency_ms=150) for name in services]
        listed = [{"name": name, "max-connections": 110} for name in services]
        case.store.put("config", "main", configuration(version, routes, listed))
        case.record.add(f"operator: version {version} acknowledged, {len(services)} services")

    write(1, old)
    for index, name in enumerate(old):
        Desk(case.record, case.store, f"i-{index:02}", name, slots=6).register()
    hosts = [case.host(f"front-{index}") for index in range(HOSTS)]
    for host in hosts:
        host.start()
    for host in hosts:
        host.wait_until_ready()
    time.sleep(1.0)
    for index, name in enumerate(new[:added]):
        Desk(case.record, case.store, f"j-{index:02}", name, slots=6).register()
    write(2, old + new[:added])
    # All bounds of the change are over, and the machines are in touch.
    time.sleep(CONFIG_APPLY_MS / 1000 + 4.0)
    counts = {}
    for index in range(REQUESTS):
        for what, names in (("first", old), ("added", new)):
            name = names[index % len(names)]
            host = hosts[index % HOSTS]
            identifier = f"{what[0]}{index:015x}"
            status, _, body = exchange("127.0.0.1", host.front, f"POST /{name}/1",
                                       [("Request-Id", identifier), ("Deadline-Ms", "1500")],
                                       b"{}")
            served = status == 200 and body == name.encode()
            counts.setdefault(what, []).append(served)
            case.record.add(f"client: {identifier} on /{name}/ at {host.name}: status {status}")
    share = {what: sum(served) / len(served) for what, served in counts.items()}
    if share["first"] < 0.5:
        raise CannotRun(f"the first routes are served at {share['first']:.2f}")
    text = (f"{sum(counts['added'])} of {REQUESTS} requests on routes that were added later are "
            f"served, {sum(counts['first'])} of {REQUESTS} on the first routes")
    return share["added"] < share["first"] / 4, text


Case(__file__).play(play)
