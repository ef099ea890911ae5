"""One of six machines is cut off from all others, and its node is killed and starts again;
a tenant sends more than its allowance at four of them."""
import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import fleet as fleets

# The bounds and contracts of "Stall bookings mesh for Welsh markets, some months on".
WINDOW_S = 5.0
OVERAGE = 0.1
SLACK = 20
PER_S = 40
BURST = 40
BOUND = (PER_S * WINDOW_S + BURST) * (1 + OVERAGE) + SLACK
KEY = "a828m82thhkmgjqnirth"
CUT_S = 12.0
RESTART_S = 0.5
EACH_PER_S = 45       # requests of the tenant at each of four machines
AT = [0, 1, 2, 3]


def prepare(fleet):
    fleet.links = fleets.Links(fleet)
    fleet.contracts = ["base", "drain", "config", "cost", "retry", "recover", "health",
                       "pool", "tenants", "quota", "platform"]
    fleet.bounds = {**fleets.BOUNDS, "quota_window": WINDOW_S, "quota_overage": OVERAGE,
                    "quota_slack": SLACK}


class Clients:
    """The tenant's clients at one machine."""

    def __init__(self, fleet, node):
        self.fleet = fleet
        self.node = node
        self.sent = {}
        self.statuses = {}
        self.tasks = set()

    async def one(self, request_id):
        answer = await fleets.call(
            self.node.at("outbound"), "GET", "/lohu930/2f",
            [("Request-Attempt-Id", request_id), ("Deadline-Milliseconds", "1200"),
             ("Authorization", f"Bearer {KEY}")])
        status = answer[0] if answer else None
        self.statuses[status] = self.statuses.get(status, 0) + 1
        self.fleet.record.line(f"{request_id} at {self.node.name} is answered {status}")

    async def press(self):
        while True:
            request_id = fleets.new_id()
            self.sent[request_id] = self.fleet.record.now()
            self.tasks.add(asyncio.ensure_future(self.one(request_id)))
            await asyncio.sleep(1 / EACH_PER_S)


def most_in_window(spans):
    """Returns the most requests that were sent and ran within one span of WINDOW_S, and
    when that began."""
    most, at = 0, 0.0
    for begin, _ in spans:
        count = sum(begin <= sent and ran <= begin + WINDOW_S for sent, ran in spans)
        if count > most:
            most, at = count, begin
    return most, at


async def play(fleet, trouble):
    record = fleet.record
    for node in fleet.nodes:
        node.worker.work_s = 0.05
    await fleet.start(
        [fleets.route("r-price", "/lohu930/", "safe", "stondin", timeout_ms=1200,
                      objective_ms=600)],
        accounts=[{"name": "hule930", "access_keys": [KEY], "priority": 1,
                   "per_s": PER_S, "burst": BURST}])
    clients = [Clients(fleet, fleet.nodes[i]) for i in AT]
    presses = [asyncio.ensure_future(one.press()) for one in clients]
    await asyncio.sleep(6.0)
    cut = fleet.nodes[:1]
    if trouble:
        fleet.links.cut = {node.name for node in cut}
        record.line(f"{', '.join(fleet.links.cut)} are cut off from all other machines")
        for node in cut:
            await node.end(signal.SIGKILL, 5.0)
        await asyncio.sleep(RESTART_S)
        for node in cut:
            await node.start(False)
    await asyncio.sleep(CUT_S - RESTART_S)
    if trouble:
        fleet.links.cut = set()
        record.line("the cut has healed")
    await asyncio.sleep(2.0)
    for press in presses:
        press.cancel()
    await asyncio.gather(*(task for one in clients for task in one.tasks))
    sent = {key: when for one in clients for key, when in one.sent.items()}
    for one in clients:
        record.line(f"answers at {one.node.name}: {one.statuses}")
    ran = {}
    for node in fleet.nodes:
        for when, request_id in node.worker.runs:
            if request_id in sent:
                ran[request_id] = min(when, ran.get(request_id, when))
    most, at = most_in_window([(sent[key], when) for key, when in sorted(ran.items())])
    record.line(f"at most {most} requests of the tenant were sent and run within "
                f"{WINDOW_S} s, from {at:.3f} on; the bound is {BOUND:.1f}")
    if most <= BOUND:
        return []
    return [f"QUOTA: {most} requests of the tenant ran within {WINDOW_S} s, from {at:.3f} "
            f"s on; the bound is {BOUND:.1f}"]


fleets.run(__file__, ["stondin"] * 4 + ["taliad"] * 2, play, prepare)
