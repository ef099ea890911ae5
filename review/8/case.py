"""A leave is acknowledged while the store is down; then all processes are killed."""
import asyncio
import json
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from fleet2 import TROUBLE, Store, Worker, http, play  # noqa: E402

# What was sent, answered and run.
RECORD = os.path.join(os.path.dirname(os.path.abspath(__file__)), "record.txt")
MACHINES = 4
CONTACT_S = 3.0
DRAIN_S = 2.0
MARGIN_S = 0.3
DOWN_S = 4.5        # platform_down, how = busy
RESTART_S = 0.5
PING_LATE_S = 4.5
SERVES_ON_S = 14.0  # as scale_in, how = stay, for_s = 15


class BusyStore(Store):
    """A store that refuses all calls while it is down."""

    down = False

    async def answer(self, request):
        if self.down:
            return 503, {"error": "busy"}
        return await super().answer(request)


class Leaver(Worker):
    """Notes when requests arrive after the acknowledgement of its leave."""

    acknowledged = None

    async def run(self, ident, request):
        if self.acknowledged is not None:
            self.arrivals.append((ident, time.monotonic()))
        return await super().run(ident, request)


async def late_ping(fleet, worker, body):
    await asyncio.sleep(PING_LATE_S)
    status, _, _ = await http(worker.control, "POST",
                              f"/v1/targets/{worker.identifier}/heartbeat",
                              [("Host", worker.control),
                               ("Content-Type", "application/json")], body, timeout=1.0)
    fleet.record.say(f"ping      {worker.identifier}, {PING_LATE_S:g} s late: {status}")


async def outage(fleet):
    """All processes are killed, and the store comes back after DOWN_S."""
    began = time.monotonic()
    await asyncio.sleep(0.3)
    for node in fleet.nodes:
        await node.kill()
    await asyncio.sleep(RESTART_S)
    for node in fleet.nodes:
        await node.start(first_start=False)
    await asyncio.sleep(max(0.0, began + DOWN_S - 0.5 - time.monotonic()))
    fleet.store.down = False
    fleet.record.say("store     answers again")
    return time.monotonic()


async def clients(fleet, until):
    async def one(node):
        while time.monotonic() < until:
            await fleet.request(node, "/pay/x", method="POST", body=b"1", wait_ms=2000)
            await asyncio.sleep(0.05)

    await asyncio.gather(*[one(node) for node in fleet.nodes for _ in range(2)])


async def case(fleet):
    fleet.store = BusyStore(fleet.record)
    await fleet.start()
    await fleet.await_service()
    await asyncio.sleep(CONTACT_S + 1)
    leaver = fleet.workers[1]
    leaver.arrivals = []
    if TROUBLE:
        fleet.store.down = True
        fleet.record.say("store     is down (503 to all calls)")
        await asyncio.sleep(0.5)
    leaver.beats.cancel()
    late = asyncio.ensure_future(late_ping(fleet, leaver, leaver.ping()))
    await asyncio.sleep(0.05)
    status, _, _ = await http(leaver.control, "POST",
                              f"/v1/targets/{leaver.identifier}/leave",
                              [("Host", leaver.control), ("Content-Type", "application/json")],
                              json.dumps({"born": leaver.born}).encode(), timeout=1.0)
    fleet.record.say(f"leave     {leaver.identifier}: {status}")
    if status != 200:
        fleet.record.say("the leave was not acknowledged: nothing binds")
        return []
    leaver.acknowledged = time.monotonic()
    calm = await outage(fleet) if TROUBLE else leaver.acknowledged
    await clients(fleet, leaver.acknowledged + SERVES_ON_S)
    await late
    # All machines have been up, and the store sound, for `contact`.
    in_touch = calm + CONTACT_S + MARGIN_S
    after = [moment - leaver.acknowledged for _, moment in leaver.arrivals
             if moment > in_touch and moment - leaver.acknowledged > DRAIN_S]
    if not after:
        return []
    return [f"{len(after)} requests reached {leaver.identifier} more than {DRAIN_S:g} s after "
            f"{fleet.nodes[1].name} acknowledged its leave, with all machines in touch; "
            f"{min(after):.1f} to {max(after):.1f} s after it"]


play(RECORD, MACHINES, case, worker=Leaver)
