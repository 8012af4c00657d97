"""A job that its client has cancelled runs: its submission was held up by a partition."""

import asyncio
import json
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins-2"))
import site_model as model  # noqa: E402

CUT_S = 5.5
TASK_MS = 4000


def job_of_two_steps():
    step = {"count": 2, "cpu": 500, "memMb": 256, "gpu": 1, "estimateMs": TASK_MS}
    return {"spec": json.dumps({"ms": TASK_MS}), "steps": [dict(step), dict(step, after=[0])]}


def leader_of(site):
    text = site.store.read("hibiscus/leader") or ""
    return next((instance for instance in site.instances if text.startswith(instance.name + "@")),
                None)


async def case(site):
    leader = leader_of(site)
    if leader is None:
        raise RuntimeError("no instance leads")
    cut, healthy = [number for number, instance in enumerate(site.instances)
                    if instance is not leader][:2]
    # Ordinary calls, so that the instances have open connections to the store.
    for number in range(3):
        body = {"spec": json.dumps({"ms": 200}),
                "steps": [{"count": 1, "cpu": 500, "memMb": 256, "gpu": 1, "estimateMs": 200}]}
        await site.submit("/batch/", model.new_id(), body, number=number)
    job = model.new_id()
    site.jobs[job] = job_of_two_steps()
    healed = time.monotonic()
    if model.has_trouble():
        healed += CUT_S
        site.store.cuts[site.instances[cut].name] = (time.monotonic(), healed)
        site.record.write("network", "partitioned from the store",
                          instance=site.instances[cut].name, seconds=CUT_S)
    submitted, _ = await site.call(cut, "POST", "/batch/" + job, site.jobs[job])
    # The client has no answer that names the job accepted, and gives the job up.
    cancelled, _ = await site.call(healthy, "DELETE", "/batch/" + job)
    acknowledged_at = site.record.now()
    if cancelled not in (200, 202, 204, 410):
        raise RuntimeError(f"the cancelling was answered {cancelled}")
    await asyncio.sleep(max(0, healed - time.monotonic()) + 16)
    state = await site.state_of("/batch/", job)
    late = [start for start in site.starts if start[2].startswith(job)
            and start[0] > acknowledged_at + model.BOUNDS["cancel_ms"] / 1000]
    # The machines are in touch once the partition is over for stableWindowMs.
    in_touch_at = site.record.now() - (time.monotonic() - healed)
    in_touch_at += model.BOUNDS["stableWindowMs"] / 1000
    calm = [start for start in late if start[0] > in_touch_at]
    site.record.write("judge", "seen", submitted=submitted, cancelled=cancelled,
                      acknowledgedAt=round(acknowledged_at, 3), inTouchFrom=round(in_touch_at, 3),
                      lateStarts=[[round(at, 3), task] for at, _, task, _ in late], state=state)
    if not calm:
        return []
    return [f"UNASKED: {len(late)} tasks of a job start later than cancel_ms after its cancelling "
            f"was acknowledged with {cancelled}, {len(calm)} of them by a leader that is in touch; "
            f"the job is shown as {state}"]


model.run_case(FOLDER, case)
