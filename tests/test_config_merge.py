"""The merge of several files: the last one wins, and the grouping does not matter."""

import json
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from carawayhub.config.check import fold
from carawayhub.config.files import ConfigFile
from carawayhub.config.merge import finished, merge, plain
from carawayhub.config.syntax import EntityKey, Node, Outline, Section, decode, outline

KEY = EntityKey(Section.ENDPOINTS, "brest-1")
REPEATABLE = settings(derandomize=True, deadline=None, max_examples=300)
KEYS = st.sampled_from(["a", "b"])
VALUES = st.recursive(
    st.one_of(st.none(), st.integers(0, 3), st.lists(st.integers(0, 3), max_size=2)),
    lambda inner: st.dictionaries(KEYS, inner, max_size=2),
    max_leaves=6,
)
NODES = st.dictionaries(KEYS, VALUES, max_size=2) | st.none()


def held(value: object, name: str = "x.json") -> Outline:
    return outline(ConfigFile(name, json.dumps({"endpoints": {"brest-1": value}}).encode()))


def node(value: object) -> Node:
    found = decode(held(value), KEY, [])
    assert found is not None
    return found


def flat(merged: Node) -> object:
    left = finished(merged)
    return None if left is None else plain(left)


class MergeTest(unittest.TestCase):
    """Laws of the merge, and single cases."""

    @REPEATABLE
    @given(NODES, NODES, NODES)
    def test_grouping_does_not_matter(self, one: object, two: object, three: object) -> None:
        a, b, c = node(one), node(two), node(three)
        self.assertEqual(merge(merge(a, b), c), merge(a, merge(b, c)))

    @REPEATABLE
    @given(NODES, NODES)
    def test_every_value_of_the_last_one_is_in_the_result(self, one: object, two: object) -> None:
        merged = merge(node(one), node(two))
        self.assertEqual(flat(merge(merged, node(two))), flat(merged))
        self.assert_covers(flat(merged), two)

    def assert_covers(self, merged: object, over: object) -> None:
        if not isinstance(over, dict):
            self.assertEqual(merged, over)
            return
        assert isinstance(merged, dict)
        for key, value in over.items():
            if value is None:
                self.assertNotIn(key, merged)
            else:
                self.assert_covers(merged[key], value)

    def test_lists_and_scalars_replace_and_objects_merge(self) -> None:
        base = {"a": {"x": 1, "y": 2}, "b": [1, 2], "c": 1}
        merged = merge(node(base), node({"a": {"y": 3}, "b": [3], "c": {"z": 1}}))
        self.assertEqual(flat(merged), {"a": {"x": 1, "y": 3}, "b": [3], "c": {"z": 1}})

    def test_what_was_removed_does_not_show_through_again(self) -> None:
        files = (
            held({"a": {"x": 1}}, "1.json"),
            held({"a": None}, "2.json"),
            held({"a": {"y": 2}}, "3.json"),
        )
        merged = fold(files, KEY)
        assert merged is not None
        self.assertEqual(plain(merged), {"a": {"y": 2}})


if __name__ == "__main__":
    unittest.main()
