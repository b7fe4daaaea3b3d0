"""A worker's Retry-After is forgotten once its entry in the store has expired and is written again."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common-2"))
import bed as b  # noqa: E402

RETRY_AFTER_S = 20
REFUSES_S = 1.0  # for how long the worker is full and refuses
CUT_AT_S, CUT_FOR_S = 2.0, 5.0  # after its first refusal
HOSTS = ("host-1", "host-2")
REQUESTS_PER_S = 20  # at each host


class Busy(b.Worker):
    """A worker that is full for a moment: it refuses with Retry-After then, and takes what comes afterwards."""

    full = False

    def refuses(self, _ident):
        return [("Retry-After", str(RETRY_AFTER_S))] if self.full else None


async def case(bed):
    store = await b.Store(bed.record).start()
    service = b.plain_service("portal")
    store.put_json("op/config", b.config(1, [b.route("filing", "/filing/", "portal")], [service]))
    busy = await Busy(bed.record, store, "s-1", "portal", slots=6, work_s=0.03).start()
    for number in range(2, 6):
        await b.Worker(bed.record, store, f"s-{number}", "portal", slots=6, work_s=0.03).start()
    hosts = [bed.host(name, store.addr) for name in HOSTS]
    for host in hosts:
        await host.ready()
    await asyncio.sleep(2)

    ended, answers = asyncio.Event(), {}

    async def client(host):
        number, open_requests = 0, []
        while not ended.is_set():
            number += 1
            ident = f"{host.name}-{number}"
            headers = {"X-Chiveway-Attempt-Id": ident, "X-Chiveway-Deadline-Ms": "2500", "X-From-Host": host.name}

            async def send(ident=ident, headers=headers):
                answer = await b.request(host.callers, "POST", "/filing/x", headers, b"body")
                answers[answer.status] = answers.get(answer.status, 0) + 1
                bed.record(f"client: {ident} at {host.name}: {answer.status}")

            open_requests.append(asyncio.create_task(send()))
            await asyncio.sleep(1 / REQUESTS_PER_S)
        await asyncio.gather(*open_requests)

    clients = [asyncio.create_task(client(host)) for host in hosts]
    await asyncio.sleep(1)
    busy.full = True
    bed.record("s-1 is full: it refuses with Retry-After")
    start = b.now()
    await asyncio.sleep(REFUSES_S)
    busy.full = False
    await asyncio.sleep(start + CUT_AT_S - b.now())
    if bed.trouble:
        bed.record("s-1 is partitioned from the store")
        busy.cut_from_store = True
        await asyncio.sleep(CUT_FOR_S)
        busy.cut_from_store = False
        bed.record("s-1 reaches the store again")
    await asyncio.sleep(start + RETRY_AFTER_S - 2 - b.now())
    ended.set()
    await asyncio.gather(*clients)

    broken = False
    for host in HOSTS:
        of_host = [arrival for arrival in busy.arrivals if arrival[2] == host]
        refused = [arrival[0] for arrival in of_host if arrival[4] == 503]
        if not refused:
            raise b.CannotRun(f"s-1 refused nothing of {host}")
        # Between half a second after the first refusal and the end of the time that it names.
        since, until = refused[0] + 0.5, refused[0] + RETRY_AFTER_S
        reached = [arrival for arrival in of_host if since < arrival[0] < until]
        broken |= len(reached) > 2
        times = ", ".join(f"{arrival[0] - refused[0]:.1f}" for arrival in reached[:5])
        bed.record.say(
            f"{host}: {len(refused)} refused, {len(reached)} requests reached s-1 within its Retry-After"
            + (f", the first after {times} s" if reached else "")
        )
    bed.record.say(f"answers: {answers}")
    bed.record.say("BROKEN: BUDGET" if broken else "held")
    return broken


b.main(HERE, case)
