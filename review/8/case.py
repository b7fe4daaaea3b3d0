"""All hosts are killed while a part of prompts that crashes workers is being tried: they know nothing of the crashes before."""

import asyncio
import os
import random
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common-2"))
import bed as b  # noqa: E402

STABLE_S = 3.0  # stableWindowMs
MAX_LATE = 3
KILLS, BETWEEN_S = 2, 7.0
DOWN_S = 0.3
BACK_S = 2.0  # after which a crashed worker is back
SOUND_EVERY_S, BAD_EVERY_S = 0.03, 0.175
HOSTS = ("host-1", "host-2", "host-3")


async def case(bed):
    store = await b.Store(bed.record, era=1).start()
    engine = {
        "slots": 12, "kvCapacity": 400000, "kvBytes": 18432, "linkMbps": 370000.0, "kvTtlS": 5.0, "switchS": 3.0,
        "models": [{"name": "m"}],
    }
    service = b.plain_service("model") | {"engine": engine, "maxConnections": 370}
    question = b.route(
        "question", "/question/", "model", "streaming", 4000, sticky=True, resumable=True, gapTargetMs=200,
        targetLatencyMs=300, maxAttempts=2,
    )
    store.put_json("op/config", b.config(1, [question], [service]))
    engines, crashes = [], []

    async def start(stage):
        engine = b.Engine(bed.record, store, f"e-{len(engines) + 1}", stage, slots=12)
        engine.bad_part, engine.on_crash = "bad", crashed
        engine.begin_s, engine.pieces, engine.pause_s = 0.3, 5, 0.08
        engines.append(engine)
        await engine.start()

    def crashed(engine):
        crashes.append(b.now())
        again = lambda: asyncio.ensure_future(start(engine.extra["stage"]))
        asyncio.get_running_loop().call_later(BACK_S, again)

    for stage in ("prefill", "decode", "decode", "decode"):
        await start(stage)
    hosts = [bed.host(name, store.addr) for name in HOSTS]
    for host in hosts:
        await host.ready()
    await asyncio.sleep(4)

    ended = asyncio.Event()

    async def send(kind, number):
        host, ident = random.choice(hosts), f"{kind}-{number}"
        # Sound requests share their first part, and their second with some; the last part is each request's own.
        parts = f"f1:50,{number % 20 + 1:x}5:50" if kind == "sound" else "f1:50,bad:50"
        headers = {
            "X-Chiveway-Attempt-Id": ident, "X-Chiveway-Deadline-Ms": "4000", "X-From-Host": host.name,
            "X-Chiveway-Model": "m", "X-Chiveway-Token-Usage": "300,8",
            "X-Chiveway-Prompt-Prefix": f"{parts},{number:x}{'aa' if kind == 'sound' else 'bb'}:200",
        }
        answer = await b.request(host.callers, "POST", "/question/x", headers, ident.encode())
        bed.record(f"client: {ident} at {host.name}: {answer.status}{'' if answer.whole else ', broken off'}")

    async def client(kind, every):
        number = 0
        while not ended.is_set():
            number += 1
            asyncio.ensure_future(send(kind, number))
            await asyncio.sleep(every)

    asyncio.ensure_future(client("sound", SOUND_EVERY_S))
    await asyncio.sleep(3)
    bed.record("requests with the bad part begin")
    asyncio.ensure_future(client("bad", BAD_EVERY_S))
    while len(crashes) < 3:
        await asyncio.sleep(0.01)
    await asyncio.sleep(1.5)
    kills = []
    for number in range(KILLS):
        if number > 0:
            await asyncio.sleep(BETWEEN_S)
        if not bed.trouble:
            continue
        bed.record("all hosts are killed")
        kills.append(b.now())
        for host in hosts:
            host.kill()
        await asyncio.sleep(DOWN_S)
        for host in hosts:
            host.start()
        for host in hosts:
            await host.listening()
        bed.record("all hosts run again")
    await asyncio.sleep(18)
    ended.set()
    await asyncio.sleep(1)

    fifth = sorted(crashes)[4] if len(crashes) >= 5 else float("inf")

    def is_late(at):
        """Whether a send counts: after the fifth crash, by a machine in touch (its process ran for stableWindowMs)."""
        in_touch = all(not kill - 0.1 < at < kill + DOWN_S + 0.3 + STABLE_S for kill in kills)
        return at > fifth + STABLE_S and in_touch

    runs = {}
    for engine in engines:
        for at, ident, host, task, is_bad in engine.arrivals:
            # What only has a prompt read isn't counted here, though it reaches a worker, too.
            if is_bad and task == "run" and is_late(at):
                runs.setdefault(ident, []).append((at, host))
    late = sorted(at for sends in runs.values() for at, _ in sends)
    first = min(crashes)
    bed.record.say("crashes, seconds after the first: " + ", ".join(f"{at - first:.1f}" for at in sorted(crashes)))
    bed.record.say("all hosts killed: " + (", ".join(f"{at - first:.1f}" for at in kills) or "never"))
    bed.record.say("late sends with the part: " + (", ".join(f"{at - first:.1f}" for at in late) or "none"))
    broken = len(late) > MAX_LATE
    bed.record.say(f"{len(late)} late sends, {MAX_LATE} allowed")
    bed.record.say("BROKEN: BUDGET" if broken else "held")
    return broken


b.main(HERE, case)
