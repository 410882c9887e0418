"""A new version of the configuration takes the last client account, and with it all keys, away."""

import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins-2"))
from standins import Case, Replica, configuration, exchange, response, route  # noqa: E402

REVOKE_MS = 5000


class Desk(Replica):
    """A plain replica that answers each request at once."""

    def __init__(self, *arguments, **more):
        super().__init__(*arguments, **more)
        self.ran = {}

    def run(self, sock, request):
        identifier = request.header("Request-Id")
        self.ran[identifier] = request.header("Tenant", "(none)")
        self.record.add(f"{self.name}: runs {identifier}, Tenant {self.ran[identifier]}")
        sock.sendall(response(200, [("Request-Id", identifier), ("Replica-Stamp", self.stamp())],
                              b"posted"))
        return True


def play(case):
    routes = [route("order", "/order/", "non_idempotent", "desk", auth_exempt=False)]
    services = [{"name": "desk", "max-connections": 110}]
    accounts = [{"name": "store-1", "api-keys": ["key-of-store-1"], "priority": 1}]
    case.store.put("config", "main", configuration(1, routes, services, accounts))
    desk = Desk(case.record, case.store, "i-1", "desk")
    desk.register()
    host = case.host("front-1")
    host.start()
    host.wait_until_ready()
    counter = iter(range(1, 1000))

    def call(what, key):
        identifier = f"{0xdef000 + next(counter):016x}"
        headers = [("Request-Id", identifier), ("Deadline-Ms", "1500")]
        if key:
            headers.append(("Authorization", f"Bearer {key}"))
        status, _, _ = exchange("127.0.0.1", host.front, "POST /order/1", headers, b"{}")
        has_run = identifier in desk.ran
        case.record.add(f"client: {identifier} with {what}: status {status}, "
                        f"{'has run' if has_run else 'has not run'}")
        return has_run

    before = [call("the key", "key-of-store-1"), call("an unknown key", "never-a-key"),
              call("no key", "")]
    if before != [True, False, False]:
        return True, f"before the change: {before}"
    if case.has_trouble:
        case.store.put("config", "main", configuration(2, routes, services, []))
        case.record.add("operator: version 2 acknowledged, without any client account")
    time.sleep((REVOKE_MS + 1000) / 1000)
    revoked = sum(call("the key", "key-of-store-1") for _ in range(5))
    unknown = sum(call("an unknown key", "never-a-key") for _ in range(5))
    keyless = sum(call("no key", "") for _ in range(5))
    text = (f"{revoked} of 5 requests with the key, {unknown} of 5 with a key that no "
            f"configuration held and {keyless} of 5 without a key ran {REVOKE_MS + 1000} ms later")
    if case.has_trouble:
        return revoked + unknown + keyless > 0, text
    return revoked != 5 or unknown + keyless > 0, text


Case(__file__).play(play)
