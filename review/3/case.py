"""A timed job whose first run lies a week back. Each leader spends all its time on passes over the
waiting steps and never gives way to its other tasks: one entry after the other answers nobody."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
import fleet

FIRST = "0000000000000a01"
TIMED = "0000000000000a02"
MINUTE_MS = 60_000
WEEK_MINUTES = 7 * 24 * 60
STEPS = 20
FINISH_S = 14.0


class World(fleet.World):
    wide = (TIMED,)


async def case(world, has_trouble):
    await world.begin(entries=3, workers=4, capacity={"cpu": 8000, "memMb": 64000, "gpu": 0})
    entry = world.entries[0]
    step = {"count": 1, "cpu": 1000, "memMb": 100, "estimateMs": 1000}

    async def submit(job, spec):
        async def accepted():
            return (await world.request(entry, "POST", job, spec))[0] == 200
        await world.wait("the job is accepted", 15, accepted)

    await submit(FIRST, {"taskSpec": "x", "steps": [step]})
    # Each minute; the first run is a week ago, or a minute ago without the trouble.
    ago = WEEK_MINUTES if has_trouble else 1
    first_run = int(time.time() * 1000) - ago * MINUTE_MS
    await submit(TIMED, {"taskSpec": "x", "steps": [step] * STEPS, "firstRunMs": first_run,
                         "intervalMs": MINUTE_MS, "repeatCount": WEEK_MINUTES})
    world.record.write("the traffic ends")
    await asyncio.sleep(FINISH_S)
    answers = [await world.request(each, "GET", FIRST) for each in world.entries]
    await asyncio.sleep(10.0)
    answers += [await world.request(each, "GET", FIRST) for each in world.entries]
    for each in world.entries:
        with open(f"/proc/{each.child.pid}/status") as status:
            memory = next(line for line in status if line.startswith("VmRSS"))
        world.record.write(f"{each.name}: is up, {' '.join(memory.split())}")
    if not any(status for status, _ in answers):
        world.breaks.append(f"LOST: {FIRST} is accepted, and {FINISH_S} s and {FINISH_S + 10} s after "
                            f"the end of the traffic none of the entries answers when it is asked for")
    started = len([start for start in world.starts if start[2].startswith(TIMED)])
    world.record.write(f"tasks of {TIMED} started: {started}")


fleet.main(os.path.dirname(os.path.abspath(__file__)), World, case)
