"""Store content that entries forward: always complete, never older than what is known."""

import random
import unittest

import msgspec

from carawayhub.codes import Code
from carawayhub.errors import PlatformError
from carawayhub.gateway.ports import EndpointRemoved
from carawayhub.gateway.revision import Eras, Revision
from carawayhub.peers import questions
from carawayhub.platform.changes import Event
from carawayhub.platform.mirror import MAX_FORWARDED_BYTES, MAX_REMOVED_KEYS, StoreMirror


class FakeStore:
    """Store whose keys are written and removed, each change at its own revision."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.revision = 0
        self.events: list[Event] = []
        self.written: dict[str, Event] = {}

    def change(self) -> None:
        self.revision += 1
        key = f"servers/i-{self.rng.randrange(12)}"
        if key in self.written and self.rng.random() < 0.4:
            del self.written[key]
            self.events.append(Event(key, self.revision, deleted=True))
            return
        event = Event(key, self.revision, self.revision, content=b"%d" % self.revision)
        self.written[key] = event
        self.events.append(event)

    def since(self, revision: int) -> list[Event]:
        return [each for each in self.events if each.rev > revision]


class Mirrors(unittest.TestCase):
    """Several entries, some of which read the store and some each other."""

    def contents(self, mirror: StoreMirror) -> dict[str, Event]:
        copy = StoreMirror(Eras())
        data = mirror.encode_after(Revision(0, -1))
        if data is not None:
            copy.take(data)
        return copy._written

    def test_all_know_what_was_written_whoever_told_them(self) -> None:
        """Entries read the store, ask each other, miss changes and restart, in any order.

        An entry that took partial content for complete would send requests to an endpoint that
        left, or accept a revoked key.
        """
        for seed in range(40):
            rng = random.Random(seed)
            store = FakeStore(rng)
            mirrors = [StoreMirror(Eras()) for _ in range(4)]
            for _ in range(300):
                self.step(rng, store, mirrors)
            for mirror in mirrors:
                mirror.extend(Revision(0, store.revision), store.since(mirror.revision.number))
                self.assertEqual(mirror._written, store.written, seed)
                self.assertEqual(self.contents(mirror), store.written, seed)

    def test_listing_that_was_overtaken_takes_nothing_back(self) -> None:
        mirror = StoreMirror(Eras())
        new = Event("servers/i-1", 5, 5, content=b"new")
        mirror.extend(Revision(0, 5), [new])
        mirror.replace(Revision(0, 3), [Event("servers/i-1", 2, 2, content=b"old")])
        self.assertEqual(mirror.revision, Revision(0, 5))
        self.assertEqual(self.contents(mirror), {"servers/i-1": new})

    def step(self, rng: random.Random, store: FakeStore, mirrors: list[StoreMirror]) -> None:
        at = rng.randrange(len(mirrors))
        match rng.randrange(8):
            case 0:
                mirrors[at].replace(Revision(0, store.revision), list(store.written.values()))
            case 1:
                mirrors[at].extend(
                    Revision(0, store.revision), store.since(mirrors[at].revision.number)
                )
            case 2:
                mirrors[at] = StoreMirror(Eras())
            case 3 | 4:
                self.forward(rng, rng.choice(mirrors), mirrors[at], store)
            case _:
                store.change()

    def forward(
        self, rng: random.Random, sender: StoreMirror, asker: StoreMirror, store: FakeStore
    ) -> None:
        asked = asker.revision.number
        data = sender.encode_after(Revision(0, asked))
        if data is None:
            self.assertLessEqual(sender.revision.number, asked)
            return
        if rng.random() < 0.3:
            asker.extend(Revision(0, store.revision), store.since(asked))
        before = asker.revision
        for _ in range(rng.randint(1, 2)):
            asker.take(data)
        self.assertGreaterEqual(asker.revision, before)

    def test_removal_is_told_to_who_is_a_little_behind(self) -> None:
        mirror = StoreMirror(Eras())
        mirror.replace(Revision(0, 5), [Event("servers/i-1", 3)])
        mirror.extend(Revision(0, 6), [Event("servers/i-1", 6, deleted=True)])
        other = StoreMirror(Eras())
        other.replace(Revision(0, 5), [Event("servers/i-1", 3)])
        handed = other.take(mirror.encode_after(Revision(0, 5)))
        self.assertFalse(handed.whole)
        self.assertEqual(handed.published.changes, (EndpointRemoved("i-1"),))

    def test_who_is_far_behind_is_told_everything(self) -> None:
        mirror = StoreMirror(Eras())
        mirror.replace(Revision(0, 1), [])
        for at in range(MAX_REMOVED_KEYS + 10):
            mirror.extend(Revision(0, at + 2), [Event(f"servers/i-{at}", at + 2, deleted=True)])
        data = mirror.encode_after(Revision(0, 2))
        self.assertTrue(StoreMirror(Eras()).take(data).whole)

    def test_more_than_a_datagram_holds_is_read_from_the_store(self) -> None:
        mirror = StoreMirror(Eras())
        mirror.replace(Revision(0, 1), [Event("op/config", 1, content=bytes(MAX_FORWARDED_BYTES))])
        self.assertIsNone(mirror.encode_after(Revision(0, 0)))

    def test_all_that_is_handed_on_can_be_unpacked(self) -> None:
        """A configuration of 100 KB was sent compressed, but a receiver unpacks only 64 KB.

        No peer could decode the answer, and each asked two peers before it read the store.
        """
        mirror = StoreMirror(Eras())
        mirror.replace(
            Revision(0, 1), [Event("op/config", 1, content=bytes(MAX_FORWARDED_BYTES - 64))]
        )
        content = mirror.encode_after(Revision(0, 0))
        self.assertIsNotNone(content)
        answer = questions.Answer(number=2**40, asker="f" * 8, ok=True, content=content)
        data = questions._encoded(questions._Datagram(answer=answer))
        self.assertEqual(questions._decoded(data).answer, answer)
        mirror.replace(Revision(0, 2), [Event("op/config", 2, content=bytes(100_000))])
        self.assertIsNone(mirror.encode_after(Revision(0, 0)))

    def test_content_that_cannot_be_read_changes_nothing(self) -> None:
        mirror = StoreMirror(Eras())
        mirror.replace(Revision(0, 5), [Event("servers/i-1", 3)])
        whole = mirror.encode_after(Revision(0, 0))
        for data in (b"", b"\xff", whole[:-1], msgspec.msgpack.encode([9, True, [["k"]]])):
            with self.subTest(data=data), self.assertRaises(PlatformError) as raised:
                mirror.take(data)
            self.assertIs(raised.exception.code, Code.PLATFORM_MALFORMED)
        self.assertEqual(mirror.revision, Revision(0, 5))
        self.assertEqual(len(mirror._written), 1)


if __name__ == "__main__":
    unittest.main()
