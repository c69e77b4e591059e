"""Plays in virtual time go the same way each time."""

import unittest

import anyio

from benchmarks.virtual_time import run

TASKS = 60


class OrderTest(unittest.TestCase):
    """What one seed does not settle must be settled by the order of things."""

    def test_tasks_are_cancelled_in_the_order_in_which_they_began(self) -> None:
        """Guards against plays of one seed that differ by addresses in memory."""
        self.assertEqual(run(_cancelled), list(range(TASKS)))

    def test_scopes_within_tasks_are_cancelled_in_that_order_too(self) -> None:
        """Guards against the same in scopes that tasks open."""
        self.assertEqual(run(_cancelled, True), list(range(TASKS)))


async def _cancelled(within_scopes: bool = False) -> list[int]:
    """Return the numbers of tasks of one group in the order of their cancellation."""
    order: list[int] = []

    async def wait(number: int) -> None:
        try:
            if within_scopes:
                with anyio.CancelScope():
                    await anyio.sleep_forever()
            await anyio.sleep_forever()
        finally:
            order.append(number)

    async with anyio.create_task_group() as tasks:
        for number in range(TASKS):
            tasks.start_soon(wait, number)
        await anyio.wait_all_tasks_blocked()
        tasks.cancel_scope.cancel()
    return order


if __name__ == "__main__":
    unittest.main()
