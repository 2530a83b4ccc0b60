"""A worker with a member of a gang is emptied. The gang is started again with checkpoints that differ
from member to member."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
import fleet

JOB = "00000000000000c1"
WORKERS = 16
MEMBERS = 4
WORK_S = 12.0


class World(fleet.World):
    """The members of one run of the gang work together from the moment when all are there."""

    def __init__(self, folder, record):
        super().__init__(folder, record)
        self.members, self.whole = {}, {}

    def behaviour(self, task, run):
        def step(this, now):
            whole = self.whole.get(run)
            if whole is None:
                return "alone" if now - this.begun >= fleet.GANG_WAIT_MS / 1000 else None
            if len(self.members[run]) < MEMBERS:
                return "broken"
            return "done" if self.work(this, now) >= WORK_S else None
        return step

    def work(self, this, now):
        """The work of the gang in seconds; it goes on from the checkpoint."""
        before = int(this.base[:8], 16) / 1000 if this.base else 0.0
        whole = self.whole.get(this.run)
        return before if whole is None else before + now - whole

    def save(self, this, now, at_stop):
        whole = self.whole.get(this.run)
        if whole is None:
            return
        done = now - whole
        if not at_stop:
            done -= done % fleet.CHECKPOINT_S
        if done > 0:
            before = int(this.base[:8], 16) if this.base else 0
            this.checkpoint = f"{before + int(done * 1000):08x}{JOB[8:]}"

    def started(self, worker, run):
        super().started(worker, run)
        run.base = run.checkpoint
        here = self.members.setdefault(run.run, set())
        here.add(run.task)
        if len(here) == MEMBERS:
            self.whole[run.run] = time.monotonic()

    def ended(self, worker, run, how):
        if how != "done":
            self.members[run.run].discard(run.task)


async def case(world, has_trouble):
    await world.begin(entries=3, workers=WORKERS, capacity={"cpu": 8000, "memMb": 64000, "gpu": 0})
    entry = world.entries[0]
    spec = {"taskSpec": "x", "steps": [
        {"count": MEMBERS, "cpu": 4000, "memMb": 100, "estimateMs": int(WORK_S * 1000),
         "gang": True, "checkpointing": True, "antiAffinity": 1}]}

    async def accepted():
        return (await world.request(entry, "POST", JOB, spec))[0] == 200

    await world.wait("the job is accepted", 15, accepted)
    await world.wait("the gang runs", 15, lambda: len(world.starts) >= MEMBERS)
    await asyncio.sleep(5.65)
    if has_trouble:
        worker = next(each for each in world.workers if each.name == world.starts[0][1])
        worker.state = "draining"
        worker.register()
        world.record.write(f"{worker.name}: is draining")

        async def leave():
            await asyncio.sleep(6.0)
            world.record.write(f"{worker.name}: leaves")
            worker.crash()
            worker.unregister()
        leaving = asyncio.create_task(leave())

    async def completed():
        await asyncio.sleep(0.5)
        status, answer = await world.request(entry, "GET", JOB)
        return status == 200 and answer["state"] == "completed"

    try:
        await world.wait("the job is completed", 40, completed)
    except fleet.CannotRun:
        world.record.write("the job is not completed after 40 s")
    if has_trouble:
        await leaving
    runs = {}
    for _, worker, task, run, saved in world.starts:
        runs.setdefault(run, []).append((task, worker, saved))
    for run, members in runs.items():
        if len({saved for _, _, saved in members}) > 1:
            text = ", ".join(f"{task} on {worker} from {saved or 'nothing'}"
                             for task, worker, saved in sorted(members))
            world.breaks.append(f"UNASKED: the members of run {run} of one gang are told to start "
                                f"from different checkpoints: {text}")


fleet.main(os.path.dirname(os.path.abspath(__file__)), World, case)
