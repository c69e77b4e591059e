"""Checks of a configuration: what is accepted, and what each refusal says."""

import unittest

from carawayhub.codes import Code
from carawayhub.config.check import build, load
from carawayhub.config.files import ConfigFile
from carawayhub.config.model import EndpointState
from carawayhub.config.problem import ConfigRefusedError, Problem

BASE = ConfigFile(
    "00-base.json",
    b"""// two entries would do as well
{
  "entries": {
    "entry-1": {
      "address": "10.0.0.1:8080", "peer_address": "10.0.0.1:7000",
      "failure_domain": "brest", "region": "west"
    }
  },
  "endpoints": {
    "brest-1": {
      "url": "http://10.0.1.1:8000", "agent": "10.0.1.1:7000",
      "failure_domain": "brest", "region": "west", "provider": "old"
    },
    "brest-2": {
      "url": "http://10.0.1.2:8000", "agent": "10.0.1.2:7000",
      "failure_domain": "brest", "region": "west", "provider": "new"
    },
    "roster-1": {
      "url": "http://10.0.1.3:8000", "agent": "10.0.1.3:7000",
      "failure_domain": "brest", "region": "west", "provider": "old"
    }
  },
  "organisations": {
    "bars": {"keys": ["sha256:%s"]}
  },
  "groups": {
    "lyrics-old": {"model": "catalogue", "endpoints": ["brest-1"]},
    "lyrics-new": {"model": "catalogue", "endpoints": ["brest-2"]}
  },
  "services": {
    "roster": {
      "endpoints": ["roster-1"],
      "routes": [{"method": "GET", "path": "/slots", "repeatable": true}]
    }
  },
  "shares": {"catalogue": {"old": 60, "new": 40}}
}
""" % (b"a" * 64),
)


def step(text: str, name: str = "10-step.json") -> ConfigFile:
    return ConfigFile(name, text.encode())


def problems(*files: ConfigFile) -> tuple[Problem, ...]:
    """Return what is wrong, the same from nothing and on top of the accepted base."""
    try:
        load(files, 1)
    except ConfigRefusedError as exc:
        from_base = build(files, build((BASE,))).problems
        assert from_base == exc.problems, f"{from_base} differs from {exc.problems}"
        return exc.problems
    return ()


class AcceptedTest(unittest.TestCase):
    """What good files make."""

    def test_values_and_defaults_become_typed_data(self) -> None:
        cfg = load((BASE,), 7)
        self.assertEqual(cfg.version, 7)
        self.assertEqual(cfg.endpoints["brest-1"].vm, "brest-1")
        self.assertEqual(cfg.organisations["bars"].key_digests, ("a" * 64,))
        self.assertEqual([share.share for share in cfg.shares["catalogue"]], [40.0, 60.0])
        self.assertEqual(cfg.fleet.answer_size, 3)

    def test_a_step_changes_single_keys(self) -> None:
        change = step(
            '{"endpoints": {"brest-1": {"state": "leaving", "capacity": 8}},'
            ' "shares": {"catalogue": {"old": 0, "new": 100}}}'
        )
        cfg = load((change, BASE), 1)
        self.assertIs(cfg.endpoints["brest-1"].state, EndpointState.LEAVING)
        self.assertEqual(cfg.endpoints["brest-1"].url, "http://10.0.1.1:8000")

    def test_null_puts_a_default_back_and_removes_objects(self) -> None:
        first = step('{"fleet": {"answer_size": 5}, "services": {"roster": null}}', "10.json")
        second = step('{"fleet": {"answer_size": null}}', "20.json")
        cfg = load((BASE, first, second), 1)
        self.assertEqual(cfg.fleet.answer_size, 3)
        self.assertEqual(cfg.services, {})

    def test_endpoints_of_one_vm_may_have_one_agent(self) -> None:
        shared = '{"endpoints": {"brest-1": {"agent": "10.0.1.2:7000", "vm": "brest-2"}}}'
        self.assertEqual(load((BASE, step(shared)), 1).endpoints["brest-1"].vm, "brest-2")

    def test_a_ramp_becomes_two_wall_times(self) -> None:
        ramp = '{"endpoints": {"brest-2": {"ramp": {"from": "2027-01-10T08:00:00Z", "for_s": 60}}}}'
        endpoint = load((BASE, step(ramp)), 1).endpoints["brest-2"]
        self.assertEqual(endpoint.ramp_from, 1_799_568_000.0)
        self.assertEqual(endpoint.ramp_until, 1_799_568_060.0)


class RefusedTest(unittest.TestCase):
    """What is wrong with bad files, and where."""

    def assert_refused(self, text: str, code: Code, key: str, line: int = 1) -> Problem:
        found = problems(BASE, step(text))
        wanted = ("10-step.json", line, key, code)
        places = [(each.file, each.line, each.key, each.code) for each in found]
        self.assertIn(wanted, places)
        return found[places.index(wanted)]

    def test_unknown_keys_name_the_nearest_one(self) -> None:
        found = self.assert_refused(
            '{"endpoints": {"brest-1":\n{"stat": "leaving"}}}',
            Code.CONFIG_UNKNOWN_KEY,
            "endpoints.brest-1.stat",
            line=2,
        )
        self.assertIn("did you mean 'state'?", str(found))
        self.assertIn("10-step.json:2", str(found))
        self.assert_refused('{"endpoint": {}}', Code.CONFIG_UNKNOWN_KEY, "endpoint")

    def test_wrong_types(self) -> None:
        for text, key in (
            ('{"fleet": {"answer_size": "3"}}', "fleet.answer_size"),
            ('{"fleet": {"answer_size": 2.5}}', "fleet.answer_size"),
            ('{"fleet": {"answer_ttl_s": true}}', "fleet.answer_ttl_s"),
            ('{"endpoints": {"brest-1": {"resumes": 1}}}', "endpoints.brest-1.resumes"),
            ('{"endpoints": {"brest-1": 5}}', "endpoints.brest-1"),
            ('{"endpoints": null}', "endpoints"),
            ('{"groups": {"lyrics-old": {"endpoints": "brest-1"}}}', "groups.lyrics-old.endpoints"),
            ('{"shares": {"catalogue": {"old": "60"}}}', "shares.catalogue.old"),
        ):
            with self.subTest(text):
                self.assert_refused(text, Code.CONFIG_WRONG_TYPE, key)

    def test_values_out_of_range(self) -> None:
        for text, key in (
            ('{"fleet": {"answer_size": 0}}', "fleet.answer_size"),
            ('{"fleet": {"permit_ttl_s": 0.6}}', "fleet.permit_ttl_s"),
            ('{"fleet": {"heartbeat_timeout_s": 0.9}}', "fleet.heartbeat_timeout_s"),
            ('{"groups": {"lyrics-old": {"ranks": 0}}}', "groups.lyrics-old.ranks"),
            ('{"endpoints": {"brest-1": {"agent": "::1:7000"}}}', "endpoints.brest-1.agent"),
            ('{"endpoints": {"brest-1": {"agent": "[10.0.1.1]:7"}}}', "endpoints.brest-1.agent"),
            (
                '{"endpoints": {"brest-2": {"ramp": {"from": "2027-01-10T08:00:00", "for_s": 6}}}}',
                "endpoints.brest-2.ramp.from",
            ),
            ('{"endpoints": {"brest-1": {"state": "gone"}}}', "endpoints.brest-1.state"),
            ('{"endpoints": {"brest-1": {"url": "http://vm:80"}}}', "endpoints.brest-1.url"),
            ('{"endpoints": {"brest-1": {"agent": "10.0.0.1"}}}', "endpoints.brest-1.agent"),
            ('{"organisations": {"bars": {"keys": ["secret"]}}}', "organisations.bars.keys[0]"),
            ('{"groups": {"lyrics-old": {"skew_weight": 1e999}}}', "groups.lyrics-old.skew_weight"),
            ('{"endpoints": {"a b": {}}}', "endpoints.a b"),
        ):
            with self.subTest(text):
                self.assert_refused(text, Code.CONFIG_VALUE_OUT_OF_RANGE, key)

    def test_ranks_spread_evenly_over_the_endpoints(self) -> None:
        text = '{"groups": {"lyrics-old": {"endpoints": ["brest-1", "%s"], "ranks": 3}}}'
        free = '{"services": {"roster": null}}'
        found = problems(BASE, step(free, "05.json"), step(text % "roster-1"))
        self.assertEqual([each.key for each in found], ["groups.lyrics-old.ranks"])

    def test_a_faulty_object_does_not_make_others_seem_faulty(self) -> None:
        found = problems(BASE, step('{"endpoints": {"brest-1": {"capacity": 0}}}'))
        self.assertEqual([each.key for each in found], ["endpoints.brest-1.capacity"])

    def test_names_that_lead_nowhere(self) -> None:
        for text, key in (
            ('{"groups": {"lyrics-old": {"endpoints": ["x"]}}}', "groups.lyrics-old.endpoints[0]"),
            (
                '{"services": {"roster": {"organisations": ["x"]}}}',
                "services.roster.organisations[0]",
            ),
            ('{"shares": {"other": {"old": 100}}}', "shares.other"),
            ('{"shares": {"catalogue": {"new": null, "newer": 40}}}', "shares.catalogue.newer"),
            ('{"endpoints": {"bresd-1": null}}', "endpoints.bresd-1"),
        ):
            with self.subTest(text):
                self.assert_refused(text, Code.CONFIG_DANGLING_REFERENCE, key)

    def test_removing_an_endpoint_that_is_in_use_blames_the_group(self) -> None:
        found = problems(BASE, step('{"endpoints": {"brest-1": null}}'))
        self.assertEqual(
            [(each.file, each.line, each.key) for each in found],
            [("00-base.json", 27, "groups.lyrics-old.endpoints[0]")],
        )

    def test_shares_must_add_up_and_have_somewhere_to_go(self) -> None:
        code = Code.CONFIG_SHARES_DO_NOT_ADD_UP
        self.assert_refused('{"shares": {"catalogue": {"old": 50}}}', code, "shares.catalogue")
        leaving = '{"endpoints": {"brest-1": {"state": "leaving"}}}'
        found = problems(BASE, step(leaving))
        self.assertEqual([each.key for each in found], ["shares.catalogue.old"])

    def test_duplicates(self) -> None:
        digests = f'"sha256:{"b" * 64}", "sha256:{"a" * 64}"'
        two_keys = '{"organisations": {"x": {"keys": [' + digests + "]}}}"
        for text, code, key in (
            (
                '{"fleet": {"answer_size": 1, "answer_size": 2}}',
                Code.CONFIG_DUPLICATE_KEY,
                "fleet.answer_size",
            ),
            ('{"fleet": {}, "fleet": {}}', Code.CONFIG_DUPLICATE_KEY, "fleet"),
            (
                '{"endpoints": {"brest-1": {"url": "http://10.0.1.2:8000"}}}',
                Code.CONFIG_DUPLICATE_ADDRESS,
                "endpoints.brest-1.url",
            ),
            (
                '{"endpoints": {"brest-1": {"agent": "10.0.1.2:7000"}}}',
                Code.CONFIG_DUPLICATE_ADDRESS,
                "endpoints.brest-1.agent",
            ),
            (
                '{"endpoints": {"brest-1": {"agent": "10.0.1.1:8000"}}}',
                Code.CONFIG_DUPLICATE_ADDRESS,
                "endpoints.brest-1.agent",
            ),
            (
                '{"entries": {"entry-1": {"peer_address": "10.0.0.1:8080"}}}',
                Code.CONFIG_DUPLICATE_ADDRESS,
                "entries.entry-1.peer_address",
            ),
            (
                '{"groups": {"lyrics-old": {"endpoints": ["brest-1", "brest-1"]}}}',
                Code.CONFIG_DUPLICATE_KEY,
                "groups.lyrics-old.endpoints[1]",
            ),
            (
                '{"services": {"other": {"endpoints": ["roster-1"],'
                ' "routes": [{"method": "GET", "path": "/slots", "repeatable": true}]}}}',
                Code.CONFIG_DUPLICATE_ROUTE,
                "services.other.routes[0]",
            ),
            (
                two_keys,
                Code.CONFIG_DUPLICATE_CREDENTIAL,
                "organisations.x.keys[1]",
            ),
            (
                '{"groups": {"lyrics-old": {"endpoints": ["brest-1", "brest-2"]}}}',
                Code.CONFIG_ENDPOINT_USED_TWICE,
                "groups.lyrics-old.endpoints[1]",
            ),
        ):
            with self.subTest(text):
                self.assert_refused(text, code, key)

    def test_missing_keys_are_all_named(self) -> None:
        found = problems(BASE, step('{"endpoints": {"new-1": {"provider": "new"}}}'))
        self.assertEqual({each.code for each in found}, {Code.CONFIG_MISSING_KEY})
        self.assertEqual(len(found), 4)

    def test_a_version_without_a_serving_entry_is_refused(self) -> None:
        found = problems(BASE, step('{"entries": {"entry-1": {"state": "leaving"}}}'))
        self.assertEqual([each.key for each in found], ["entries"])

    def test_no_files(self) -> None:
        self.assertEqual([each.code for each in problems()], [Code.CONFIG_NO_FILES])


if __name__ == "__main__":
    unittest.main()
