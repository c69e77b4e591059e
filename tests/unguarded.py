"""Runs a daemon with one of its guards taken out: ``python -m tests.unguarded GUARD entry ...``.

The product has no switch that would disable a guard. This starter replaces the one function that
holds it, in this process only, and then runs the command as it is. ``benchmarks.guards`` shows that
the test which belongs to a guard fails without it.
"""

import dataclasses
import sys
from collections.abc import Callable
from functools import partial
from typing import Any

from carawayhub.__main__ import run
from tests import group_guards

VARIABLE = "CARAWAYHUB_TEST_UNGUARDED"
"""Environment variable by which ``tests.processes`` is told which guard to take out."""

FOREVER = 1e6
NO_FIELD = b'"no such field":'
Guard = Callable[[], None]
GUARDS: dict[str, Guard] = {}


def guard(name: str) -> Callable[[Guard], Guard]:
    """Register what takes a guard out under its name."""

    def register(take_out: Guard) -> Guard:
        GUARDS[name] = take_out
        return take_out

    return register


def replace(owner: object, name: str, value: object) -> None:
    """Put ``value`` in the place of a function or attribute of the product."""
    if not hasattr(owner, name):
        raise AttributeError(f"{owner} has no {name}; the guard has moved")
    setattr(owner, name, value)


GUARDS |= {name: partial(each, replace) for name, each in group_guards.GUARDS.items()}


def _main() -> None:
    name, *arguments = sys.argv[1:]
    for part in name.split("+"):
        GUARDS[part]()
    sys.argv[1:] = arguments
    run()


@guard("deadline-read")
def _deadline_read() -> None:
    from carawayhub.entry import calls

    replace(calls, "deadline", lambda headers, cfg, clock: clock.monotonic() + 30.0)


@guard("http-version")
def _http_version() -> None:
    from carawayhub.entry.app import EntryApp

    serve = EntryApp._serve

    async def unchecked(self: Any, scope: Any, *rest: Any) -> None:
        await serve(self, scope | {"http_version": "1.1"}, *rest)

    replace(EntryApp, "_serve", unchecked)


@guard("worst-outcome")
def _worst_outcome() -> None:
    from carawayhub.entry import relay

    replace(relay, "_worse", lambda first, second: second)


@guard("authentication")
def _authentication() -> None:
    from carawayhub.peers import proofs

    def unchecked(self: Any, method: str, metadata: Any) -> str:
        return str((metadata or {}).get(proofs.SENDER, ""))

    replace(proofs.Prover, "check", unchecked)


@guard("ids")
def _ids() -> None:
    from carawayhub.entry import relay, stream

    replace(stream, "ID", NO_FIELD)
    replace(relay, "_check_id", lambda call, response, body: None)


@guard("offsets")
def _offsets() -> None:
    from carawayhub.entry import stream

    replace(stream, "OFFSET", NO_FIELD)


@guard("resumption")
def _resumption() -> None:
    from carawayhub.entry.relay import Relay

    replace(Relay, "_may_resume", lambda self, answer, attempt, exc, resumes: False)


@guard("broken-off-answer")
def _broken_off_answer() -> None:
    from carawayhub.entry.app import AnswerAborted, EntryApp

    serve = EntryApp.__call__

    async def in_order(self: Any, scope: Any, receive: Any, send: Any) -> None:
        try:
            await serve(self, scope, receive, send)
        except AnswerAborted:
            await send({"type": "http.response.body", "body": b""})

    replace(EntryApp, "__call__", in_order)


@guard("explicit-end")
def _explicit_end() -> None:
    from carawayhub.entry import relay
    from carawayhub.errors import RequestError

    relay_stream = relay.Relay._relay_stream

    async def trusting(
        self: Any, call: Any, answer: Any, attempt: Any, check: Any, res: Any
    ) -> None:
        try:
            await relay_stream(self, call, answer, attempt, check, res)
        except RequestError as exc:
            if not exc.detail.endswith("ended the stream early"):
                raise
            await answer.end()

    replace(relay.Relay, "_relay_stream", trusting)


@guard("caller-watch")
def _caller_watch() -> None:
    from carawayhub.entry import app

    async def blind(receive: Any, scope: Any) -> None:
        return

    replace(app, "_watch_caller", blind)


@guard("ledger")
def _ledger() -> None:
    from carawayhub.agent.gate import Gate

    claim_of = Gate._claim

    def forgetting(self: Any, req: Any) -> Any:
        claim = claim_of(self, req)
        self._ledger._records.pop(getattr(claim, "key", None), None)
        return claim

    replace(Gate, "_claim", forgetting)


@guard("incarnation")
def _incarnation() -> None:
    from carawayhub.agent.tickets import Admitted, Epochs

    replace(Epochs, "admit", lambda self, ticket: Admitted(self._end(ticket.epoch)))


@guard("quarantine")
def _quarantine() -> None:
    from carawayhub.agent.fence import Fence

    replace(Fence, "_own_quarantine_until", lambda self: self._started)


@guard("ledger-handed-on")
def _ledger_handed_on() -> None:
    from carawayhub.agent.ledger import Ledger

    replace(Ledger, "export", lambda self, wanted: ())


@guard("promises")
def _promises() -> None:
    from carawayhub.agent.fence import Fence
    from carawayhub.agent.stages import StageHistory

    replace(Fence, "missing", lambda self: ())
    replace(Fence, "_quarantine_until", lambda self, peer: self._started)
    replace(StageHistory, "confirmed", lambda self, key_set: True)


@guard("home")
def _home() -> None:
    from carawayhub.agent.fence import Fence
    from carawayhub.entry.runonce import RunOnce, _scope

    def any_near(self: Any, call: Any) -> Any:
        seats = self._sets[_scope(call)].seats
        heard = [seat for seat in seats if self._reports.latest(seat.member.endpoint)]
        return self._destination(heard[0].member.endpoint)

    replace(RunOnce, "_by_key", any_near)
    replace(Fence, "admit", lambda self, key: None)


@guard("time-left")
def _time_left() -> None:
    from carawayhub.agent import gate
    from carawayhub.constants import DEADLINE_HEADER
    from carawayhub.entry import relay

    replace(relay, "DROPPED_HEADERS", relay.DROPPED_HEADERS - {DEADLINE_HEADER})
    replace(relay, "DEADLINE_HEADER", b"x-unread")
    replace(gate, "_DROPPED_HEADERS", gate._DROPPED_HEADERS - {DEADLINE_HEADER.decode()})
    replace(gate, "DEADLINE_HEADER", b"x-unread")


@guard("agents-deadline")
def _agents_deadline() -> None:
    from carawayhub.entry.reports import Reports

    replace(Reports, "on_agents_clock", lambda self, endpoint, reading: float("inf"))


@guard("retries")
def _retries() -> None:
    from carawayhub.limits.retries import RetryBudget, RetryDecision, RetryVerdict

    replace(RetryBudget, "decide", lambda self, query: RetryDecision(RetryVerdict.BUDGET, 0.0))


@guard("retry-budget")
def _retry_budget() -> None:
    from carawayhub.limits.bucket import TokenBucket

    replace(TokenBucket, "spend", lambda self, amount, now: True)


@guard("permit")
def _permit() -> None:
    from carawayhub.routing.candidate import Candidate

    replace(Candidate, "mark_link_lost", lambda self, now: None)
    replace(Candidate, "_permit", lambda self, report, asked_at, last: float("inf"))


@guard("leaving-by-configuration")
def _leaving_by_configuration() -> None:
    from carawayhub.agent.reporter import Reporter
    from carawayhub.config.model import EndpointState
    from carawayhub.routing.router import Router

    def unheeding(configure: Any) -> Any:
        def configured(self: Any, cfg: Any) -> None:
            serving = {
                name: dataclasses.replace(endpoint, state=EndpointState.SERVING)
                for name, endpoint in cfg.endpoints.items()
            }
            configure(self, dataclasses.replace(cfg, endpoints=serving))

        return configured

    replace(Reporter, "configured", unheeding(Reporter.configured))
    replace(Router, "configure", unheeding(Router.configure))


@guard("leaving-by-vm-list")
def _leaving_by_vm_list() -> None:
    from carawayhub.agent.reporter import Reporter
    from carawayhub.routing.router import Router

    replace(Reporter, "listed", lambda self, vms: None)
    replace(Router, "set_leaving", lambda self, endpoints: None)


@guard("vm-list-at-entries")
def _vm_list_at_entries() -> None:
    from carawayhub.routing.router import Router

    replace(Router, "set_leaving", lambda self, endpoints: None)


@guard("vm-list-from-peers")
def _vm_list_from_peers() -> None:
    from carawayhub.fleet.vmsync import VmListSync

    replace(VmListSync, "record_peer_list_number", lambda self, peer, number: None)


@guard("stopping-agent-leaves")
def _stopping_agent_leaves() -> None:
    from carawayhub.agent.reporter import Reporter
    from carawayhub.process.member import Member

    replace(Reporter, "stopping", lambda self: None)
    replace(Member, "leave", lambda self: None)


@guard("kept-answers")
def _kept_answers() -> None:
    from carawayhub.routing.directory import EntryDirectory

    replace(EntryDirectory, "answers_expire_at", lambda self, now: now)


@guard("drain")
def _drain() -> None:
    from carawayhub.entry.app import EntryApp
    from carawayhub.http import HttpServer

    def stop_at_once(self: Any) -> None:
        self._server.force_exit = True
        self._server.leave()

    EntryApp.running = property(lambda self: 0, lambda self, value: None)  # type: ignore
    replace(HttpServer, "stop", stop_at_once)


@guard("link-timeout")
def _link_timeout() -> None:
    from carawayhub.peers.links import Intervals

    make = Intervals.__init__

    def patient(self: Any, heartbeat: float, timeout: float) -> None:
        make(self, heartbeat, FOREVER)

    replace(Intervals, "__init__", patient)


@guard("watch-timeout")
def _watch_timeout() -> None:
    from carawayhub.fleet import vmsync, watchers
    from carawayhub.platform import client

    replace(client, "ANSWER_MARGIN_SECONDS", FOREVER)
    replace(watchers, "RESPONSE_MARGIN_SECONDS", FOREVER)
    replace(vmsync, "RESPONSE_MARGIN_SECONDS", FOREVER)


@guard("call-keepalive")
def _call_keepalive() -> None:
    from grpclib.config import Configuration

    from carawayhub.peers import calls

    replace(calls, "KEEPALIVE", Configuration())


@guard("stream-stall")
def _stream_stall() -> None:
    from carawayhub.entry.relay import Relay

    configure = Relay.configure

    def patient(self: Any, cfg: Any) -> None:
        fleet = dataclasses.replace(cfg.fleet, stream_stall=FOREVER)
        configure(self, dataclasses.replace(cfg, fleet=fleet))

    replace(Relay, "configure", patient)


@guard("half-of-the-time")
def _half_of_the_time() -> None:
    from carawayhub.endpoints.upstream import UpstreamTimeouts

    waiting = UpstreamTimeouts.waiting
    replace(UpstreamTimeouts, "waiting", lambda wait: waiting(2 * wait))


@guard("pauses")
def _pauses() -> None:
    from carawayhub.fleet.pauses import PauseDetector

    replace(PauseDetector, "check", lambda self: False)


@guard("high-water-mark")
def _high_water_mark() -> None:
    from carawayhub.config.version import HighWater
    from carawayhub.fleet.manifest import VersionId
    from carawayhub.fleet.sync import ConfigSync

    def any_other(self: Any, id: VersionId) -> bool:
        return id != self.in_force and id not in self._refused and id.version > 0

    replace(ConfigSync, "_wanted", any_other)
    replace(ConfigSync, "record_published", lambda self, manifest: self._wanted(manifest.id))
    offer = HighWater.offer

    def forgetful(self: Any, version: int, files: Any) -> Any:
        self._configuration = self._build = None
        return offer(self, version, files)

    replace(HighWater, "offer", forgetful)


@guard("peers-before-ready")
def _peers_before_ready() -> None:
    from carawayhub.fleet.start import Startup
    from carawayhub.fleet.sync import ConfigSync

    async def no_wait(self: Any) -> None:
        return

    replace(Startup, "_wait_for_peers", no_wait)
    replace(ConfigSync, "record_peer_version", lambda self, peer, id, service_age=0.0: None)


@guard("check-of-a-version")
def _check_of_a_version() -> None:
    from carawayhub.config import version

    build = version.build

    def lenient(files: Any, base: Any = None) -> Any:
        return dataclasses.replace(build(files, base), problems=())

    replace(version, "build", lenient)


if __name__ == "__main__":
    _main()
