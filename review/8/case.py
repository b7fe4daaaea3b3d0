"""A worker's Server-Limit is forgotten by all hosts once its entry in the store has expired and is written again."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common-2"))
import bed as b  # noqa: E402

LIMIT_PER_S = 0.25
STABLE_S = 3.0  # stableWindowMs
CUT_FOR_S = 5.0
WINDOW_S = 4.0  # "in some 4 s"
HOSTS = ("host-1", "host-2", "host-3")
REQUESTS_PER_S = 70  # at each host


class Limited(b.Worker):
    """A worker in need: it is slow, and names its limit in all its answers."""

    def notices(self):
        return [("Server-Limit", str(LIMIT_PER_S))]


async def case(bed):
    store = await b.Store(bed.record, era=1).start()
    service = b.plain_service("portal")
    store.put_json("op/config", b.config(1, [b.route("filing", "/filing/", "portal")], [service]))
    limited = await Limited(bed.record, store, "s-1", "portal", slots=6, work_s=0.22).start()
    for number in range(2, 6):
        await b.Worker(bed.record, store, f"s-{number}", "portal", slots=6, work_s=0.06).start()
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
                answer = await b.request(host.callers, "POST", "/filing/x", headers, ident.encode())
                answers[answer.status] = answers.get(answer.status, 0) + 1
                bed.record(f"client: {ident} at {host.name}: {answer.status}")

            open_requests.append(asyncio.create_task(send()))
            await asyncio.sleep(1 / REQUESTS_PER_S)
        await asyncio.gather(*open_requests)

    clients = [asyncio.create_task(client(host)) for host in hosts]
    while not limited.arrivals:
        await asyncio.sleep(0.05)
    named = b.now() + limited.work_s
    bed.record("s-1 names its limit for the first time")
    await asyncio.sleep(STABLE_S + 5)
    if bed.trouble:
        bed.record("s-1 is partitioned from the store")
        limited.cut_from_store = True
        await asyncio.sleep(CUT_FOR_S)
        limited.cut_from_store = False
        bed.record("s-1 reaches the store again")
    else:
        await asyncio.sleep(CUT_FOR_S)
    await asyncio.sleep(8)
    ended.set()
    await asyncio.gather(*clients)

    # Only machines that have passed on an answer of it half a second before or earlier count, from stableWindowMs on.
    first = {}
    for at, _, host, _, _ in limited.arrivals:
        first.setdefault(host, at + limited.work_s + 0.5)
    counted = [at for at, _, host, _, _ in limited.arrivals if at >= first[host] and at >= named + STABLE_S]
    most = max((sum(start <= at < start + WINDOW_S for at in counted) for start in counted), default=0)
    allowed = 1.5 * LIMIT_PER_S * WINDOW_S + 5
    broken = most > allowed
    bed.record.say(f"s-1 got {most} requests in some 4 s, {allowed:.0f} allowed; answers: {answers}")
    bed.record.say("BROKEN: LIMIT" if broken else "held")
    return broken


b.main(HERE, case)
