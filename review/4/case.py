"""A configuration takes the last tenant away; from then on any key opens all routes."""

import asyncio
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

SERVICE = "kafe-portal"
REVOKE = 5.0
PER_SECOND = 20.0
REVOKED_AT, LASTS = 5.0, 16.0


async def case(lab: Lab) -> int:
    """Run the case and return its status."""
    ran: dict[str, str] = {}

    def report(what: str, **fields: object) -> None:
        lab.record(what, **fields)
        if what == "run":
            ran[str(fields["id"])] = str(fields["replica"])

    routes = [route("booking", "idempotent", SERVICE)]
    config = configuration(1, routes)
    await lab.start_store(config)
    for number in range(3):
        host = lab.replica_host(number)
        replica = Replica(f"i-{number}", report, work=0.045)
        await replica.serve(host)
        lab.store.put(f"servers/{replica.name}", registration(SERVICE, host, replica.port))
    await lab.start_entries(2)
    caller = Caller(lab)
    began = lab.record.now()
    acked_at: float | None = None
    tasks = []
    number = 0
    while lab.record.now() < began + LASTS:
        if TROUBLE and acked_at is None and lab.record.now() > began + REVOKED_AT:
            lab.store.put("op/config", config | {"Version": 2, "Tenants": []})
            acked_at = lab.record.now()
            lab.record.say("version 2 takes the only tenant away with its key")
        number += 1
        tasks.append(
            asyncio.ensure_future(caller.send(lab.entries[number % 2], f"/booking/{number}"))
        )
        await asyncio.sleep(1.0 / PER_SECOND)
    await asyncio.gather(*tasks)

    first = [each for each in caller.answers if each.sent_at < began + REVOKED_AT - 1.0]
    served = sum(each.status == 200 for each in first)
    lab.record.say(f"{served} of {len(first)} requests served with the key in force")
    if served < len(first) * 0.9:
        return NOT_RUN
    if acked_at is None:
        return HELD
    late = [each for each in caller.answers if each.sent_at > acked_at + REVOKE]
    broken = [each for each in late if each.id in ran]
    refused = sum(each.status == 401 for each in late)
    lab.record.say(
        f"CONFIG: of {len(late)} requests sent later than 5 s after the ack, {len(broken)} ran "
        f"with the key that was taken away; {refused} got 401"
    )
    return BROKEN if broken else HELD


if __name__ == "__main__":
    main(Path(__file__).parent, case)
