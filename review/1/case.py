"""A rolling restart while long submissions and withdrawals arrive: is every accepted job still known and run?"""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin"))
from standin import CannotRun, Site, main  # noqa: E402

SOURCES = 140     # jobs that the long submissions await; each is one task of 70 s
LONG = 36         # long submissions: a job of one task that awaits all of the sources
CANCELLED = 30    # jobs that wait for the first of them and are withdrawn
RUN_S = 8.0       # run time of the long submissions' single task
STEP_S, BACK_S = 10.0, 5.0    # one controller every 10 s, back 5 s after its end
QUIET_S = 75.0    # "a job about which no question is answered for 75 s counts as forgotten"


class Mill(Site):
    # Limits that the state service will have from some later moment on (kit/change).
    next_limits = {"write_rps": 21.0, "value_kb": 2.0, "txn_ops": 8}


async def case(site, trouble):
    record = site.record
    await site.wait_until(lambda: any(site.nodes_up.values()) and site.leader(), 10, "no controller came up")
    await site.wait_until(lambda: sum(worker.baton > 0 for worker in site.workers) == len(site.workers), 10,
                          "not all workers are known")
    sources = [f"wk-{number:06}" for number in range(1, SOURCES + 1)]
    answers = await asyncio.gather(*(site.submit(site.job(ref, 70.0)) for ref in sources))
    if any(status not in (200, 201) for status, _ in answers):
        raise CannotRun("the awaited jobs were not accepted")
    waiting = [f"wk-{number:06}" for number in range(500, 500 + CANCELLED)]
    await asyncio.gather(*(site.submit(site.job(ref, 5.0, awaits=[sources[0]])) for ref in waiting))
    record.write("note", text="the awaited jobs and those to be withdrawn are accepted")

    accepted = []

    async def long_submission(ref):
        status, _ = await site.submit(site.job(ref, RUN_S, crew="renshi-2", awaits=sources))
        if status in (200, 201):
            accepted.append(ref)

    async def submit_long():
        await asyncio.gather(*(long_submission(f"wk-{number:06}") for number in range(900, 900 + LONG)))

    async def withdraw_all():
        await asyncio.gather(*(site.withdraw(ref) for ref in waiting))

    await asyncio.sleep(0.5)
    order = sorted(site.controllers, key=lambda name: name != site.leader())
    withdrawing = asyncio.create_task(withdraw_all())
    submitting = asyncio.create_task(submit_long())
    await asyncio.sleep(1.0)
    for name in order:
        if trouble:
            site.controllers[name].kill()
        await asyncio.sleep(BACK_S)
        if trouble:
            site.controllers[name].start()
        await asyncio.sleep(STEP_S - BACK_S if name != order[-1] else 0.0)
    record.write("note", text="all controllers have been restarted" if trouble else "no controller was restarted")
    over = record.now()
    await asyncio.gather(submitting, withdrawing)

    if len(accepted) < LONG:
        raise CannotRun("not all long submissions were accepted")
    answered = {ref: None for ref in accepted}

    async def ask_about(ref):
        while record.now() < over + QUIET_S + 0.5:
            status, answer = await site.poll(ref)
            if status in (200, 404):
                answered[ref] = answer.get("status", "unknown job")
            await asyncio.sleep(max(0.0, min(5.0, over + QUIET_S + 0.5 - record.now())) or 0.5)

    await asyncio.gather(*(ask_about(ref) for ref in accepted))
    started = {piece.split("/")[0] for _, piece, _ in site.starts}
    lost = [ref for ref in accepted if answered[ref] is None]
    for ref in lost[:3]:
        status, answer, _ = await site.ask("POST", "/submissions", site.submitted[ref])
        record.write("submission repeated", ref=ref, status=status, answer=answer)
    done = sum(answered[ref] == "done" for ref in accepted)
    print(f"{len(accepted)} long jobs accepted, {done} done, {len(lost)} without any answer for {QUIET_S:.0f} s")
    return [f"forgotten: {ref} gets 404" for ref in accepted if answered[ref] == "unknown job"] + [
        f"forgotten: {ref} was accepted; since all controllers were back, no question about it was answered for "
        f"{QUIET_S:.0f} s; it {'had started before' if ref in started else 'never ran'}" for ref in lost]


main(case, Mill)
