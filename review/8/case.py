"""A replica in need names its limit with all digits of the number; entries go on as without one."""

import asyncio
import itertools
import os
import random
from pathlib import Path

from standins2 import (
    BROKEN,
    HELD,
    NOT_RUN,
    TROUBLE,
    Caller,
    Lab,
    Replica,
    configuration,
    main,
    registration,
    route,
)

STABLE_WINDOW = 3.0
SERVICE = "kafe-portal"
LIMIT = os.environ.get("LIMIT_TEXT", "2.3333333333333335")
"""Seven requests in three seconds, as most languages print the quotient."""

WINDOW = 4.0
PASSED_ON = 0.5
PER_SECOND = 30.0
NEED_AT, LASTS = 6.0, 20.0


async def case(lab: Lab) -> int:
    """Run the case and return its status."""
    arrivals: list[tuple[float, str]] = []
    first_told: dict[str, float] = {}
    named_at: float | None = None
    needy_id = "i-0"

    def report(what: str, **fields: object) -> None:
        lab.record(what, **fields)
        if what in ("run", "refused") and fields["replica"] == needy_id:
            arrivals.append((lab.record.now(), str(fields["entry"])))

    await lab.start_store(configuration(1, [route("rota", "idempotent", SERVICE)]))
    replicas = []
    for number in range(3):
        host = lab.replica_host(number)
        replica = Replica(f"i-{number}", report, work=0.045)
        await replica.serve(host)
        lab.store.put(f"servers/{replica.name}", registration(SERVICE, host, replica.port))
        replicas.append(replica)
    await lab.start_entries(2)
    caller = Caller(lab)
    began = lab.record.now()

    def stated() -> list[tuple[str, str]]:
        nonlocal named_at
        now = lab.record.now()
        if not TROUBLE or now < began + NEED_AT:
            return []
        if named_at is None:
            named_at = now
            lab.record.say(f"{needy_id} names Server-Limit: {LIMIT} from now on")
        return [("Server-Limit", LIMIT)]

    replicas[0].stated = stated
    tasks = []
    for number in itertools.count():
        if lab.record.now() > began + LASTS:
            break
        entry = lab.entries[number % 2]
        tasks.append(asyncio.ensure_future(caller.send(entry, f"/rota/{number}")))
        await asyncio.sleep(random.expovariate(PER_SECOND))
    await asyncio.gather(*tasks)

    served = sum(each.status == 200 and each.complete for each in caller.answers)
    lab.record.say(f"{served} of {len(caller.answers)} requests served")
    if served < len(caller.answers) * 0.3:
        return NOT_RUN
    if named_at is None:
        lab.record.say("no limit was named")
        return NOT_RUN if TROUBLE else HELD

    # An entry has passed such an answer on at the latest 0.5 s after its first request since.
    for at, entry in arrivals:
        if at >= named_at:
            first_told.setdefault(entry, at + 0.045)
    from_ = named_at + STABLE_WINDOW
    counted = [at for at, entry in arrivals if at >= from_ and at >= first_told[entry] + PASSED_ON]
    allowed = 1.5 * float(LIMIT) * WINDOW + 5
    most = max(
        (sum(begin <= at < begin + WINDOW for at in counted) for begin in counted), default=0
    )
    lab.record.say(
        f"LIMIT: at most {most} requests in some 4 s at {needy_id} from 3 s after it first named "
        f"its limit; {allowed:.1f} are allowed"
    )
    return BROKEN if most > allowed else HELD


if __name__ == "__main__":
    main(Path(__file__).parent, case)
