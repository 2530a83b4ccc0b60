"""A worker that is being emptied is cut off by refused connections. Its task is started again while
it still runs there under its lease."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
import fleet

JOB = "00000000000000d1"
WORKERS = 16
CUT_S = 5.5


class World(fleet.World):
    def behaviour(self, task, run):
        return lambda this, now: "done" if now - this.begun >= 30.0 else None

    def started(self, worker, run):
        super().started(worker, run)
        for other in self.workers:
            found = other.running.get(run.task) if other is not worker and other.is_up else None
            if found:
                self.breaks.append(f"TWICE: {run.task} run {run.run} starts on {worker.name} at "
                                   f"{self.record.now():.3f} s, while its run {found.run} works on "
                                   f"{other.name}, which is up")


async def case(world, has_trouble):
    await world.begin(entries=3, workers=WORKERS, capacity={"cpu": 8000, "memMb": 64000, "gpu": 0})
    entry = world.entries[0]
    spec = {"taskSpec": "x", "steps": [
        {"count": 4, "cpu": 4000, "memMb": 100, "estimateMs": 30000, "antiAffinity": 1}]}

    async def accepted():
        return (await world.request(entry, "POST", JOB, spec))[0] == 200

    await asyncio.sleep(12.0)
    await world.wait("the job is accepted", 15, accepted)
    await world.wait("its tasks run", 15, lambda: len(world.starts) >= 4)
    await asyncio.sleep(2.0)
    worker = next(each for each in world.workers if each.name == world.starts[0][1])
    worker.state = "draining"
    worker.register()
    world.record.write(f"{worker.name}: is draining")
    await asyncio.sleep(1.0)
    port = worker.server.port
    if has_trouble:
        # Neither the entries nor the store reach the worker, and it runs on.
        world.record.write(f"{worker.name}: is cut off for {CUT_S} s; connections are refused")
        worker.registered = False
        worker.server.close()
        silent = 3 * fleet.HEARTBEAT_MS / 1000

        async def forget():
            await asyncio.sleep(silent)
            worker.unregister()
            world.record.write(f"store: {worker.name} was silent for {silent} s; its entry goes")
        forgetting = asyncio.create_task(forget())
        await asyncio.sleep(CUT_S)
        await forgetting
        worker.server = fleet.Server(worker.respond)
        await worker.server.start(port)
        worker.register()
        world.record.write(f"{worker.name}: is reached again")
    else:
        await asyncio.sleep(CUT_S)
    await asyncio.sleep(6.0)


fleet.main(os.path.dirname(os.path.abspath(__file__)), World, case)
