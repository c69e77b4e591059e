"""A small fleet of real processes for the relay's benchmark."""

import hashlib
import json
import tempfile
from pathlib import Path
from types import TracebackType
from typing import Any

from benchmarks.processes import Process, wait_for_port

KEY = "relay-benchmark-key"
SYSTEM_KEY = "0123456789abcdef0123"
FIRST_PORT = 20_100
PLATFORM = FIRST_PORT
ENTRY, ENTRY_PEER, ENTRY_OPERATOR = FIRST_PORT + 1, FIRST_PORT + 2, FIRST_PORT + 3
ENGINES = FIRST_PORT + 10
AGENTS = FIRST_PORT + 20
AGENT_OPERATORS = FIRST_PORT + 30
SERVICE = "b0"
SERVICE_PORT = FIRST_PORT + 19
SERVICE_AGENT, SERVICE_OPERATOR = FIRST_PORT + 29, FIRST_PORT + 39
SLOTS_PATH = "/slots"
BOOKINGS_PATH = "/bookings"
REGION = "west"
DOMAIN = "brest"
DEFAULT_ENGINES = 3


class Fleet:
    """Runs the processes while its ``with`` runs.

    Args:
        join_window: Fleet option ``join_window_s``.
        engines: Number of engines, each with its agent.

    Attributes:
        entry: The entry's process.
        agents: The agents' processes.
        service_agent: The agent beside the plain service.
        engine_ports: Where the engines listen.
    """

    def __init__(self, join_window: float, engines: int = DEFAULT_ENGINES) -> None:
        self._folder = tempfile.TemporaryDirectory()
        self._join_window = join_window
        self._all: list[Process] = []
        self.engine_ports = [ENGINES + number for number in range(engines)]
        self.agents: list[Process] = []
        self.service_agent: Process
        self.entry: Process

    def __enter__(self) -> "Fleet":
        try:
            self._start()
        except BaseException:
            self._stop()
            raise
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._stop()

    def _start(self) -> None:
        root = Path(self._folder.name)
        config = root / "config"
        config.mkdir()
        (config / "00-fleet.json").write_text(json.dumps(self._configuration()))
        listen = ["--listen", f"127.0.0.1:{PLATFORM}", "--folder", str(config)]
        self._run("platform", ["carawayhub.standins", "platform", *listen])
        for port in self.engine_ports:
            self._run(f"engine-{port}", ["benchmarks.relay_engine", str(port)])
        for number in range(len(self.engine_ports)):
            settings = self._settings(f"m{number}", AGENTS + number, AGENT_OPERATORS + number)
            self.agents.append(self._daemon("agent", settings))
        self._run(SERVICE, ["benchmarks.relay_engine", str(SERVICE_PORT)])
        settings = self._settings(SERVICE, SERVICE_AGENT, SERVICE_OPERATOR)
        self.service_agent = self._daemon("agent", settings)
        settings = self._settings("e1", ENTRY_PEER, ENTRY_OPERATOR)
        settings["listen"] = f"127.0.0.1:{ENTRY}"
        self.entry = self._daemon("entry", settings)
        wait_for_port(ENTRY)

    def _stop(self) -> None:
        for process in reversed(self._all):
            process.stop()
        self._folder.cleanup()

    def _run(self, name: str, args: list[str]) -> Process:
        process = Process(args, Path(self._folder.name) / f"{name}.log")
        self._all.append(process)
        return process

    def _daemon(self, role: str, settings: dict[str, Any]) -> Process:
        path = Path(self._folder.name) / f"{settings['name']}.json"
        path.write_text(json.dumps(settings))
        return self._run(settings["name"], ["carawayhub", role, "-s", str(path)])

    def _settings(self, name: str, peer: int, operators: int) -> dict[str, Any]:
        return {
            "name": name,
            "vm": f"vm-{name}",
            "failure_domain": DOMAIN,
            "region": REGION,
            "platform": f"http://127.0.0.1:{PLATFORM}",
            "system_key": SYSTEM_KEY,
            "peer_listen": f"127.0.0.1:{peer}",
            "operator_listen": f"127.0.0.1:{operators}",
            "log_level": "WARNING",
        }

    def _configuration(self) -> dict[str, Any]:
        place = {"failure_domain": DOMAIN, "region": REGION}
        limits = {"rate_per_s": 100_000, "burst": 100_000, "concurrency": 100_000}
        endpoints = {
            f"m{number}": {
                "vm": f"vm-m{number}",
                "url": f"http://127.0.0.1:{port}",
                "agent": f"127.0.0.1:{AGENTS + number}",
                "provider": "own",
                "capacity": 100_000,
                **place,
            }
            for number, port in enumerate(self.engine_ports)
        }
        endpoints[SERVICE] = {
            "vm": f"vm-{SERVICE}",
            "url": f"http://127.0.0.1:{SERVICE_PORT}",
            "agent": f"127.0.0.1:{SERVICE_AGENT}",
            "provider": "own",
            "capacity": 100_000,
            **place,
        }
        engines = [name for name in endpoints if name != SERVICE]
        booking = {
            "endpoints": [SERVICE],
            "key_quarantine": False,
            "routes": [
                {"method": "GET", "path": SLOTS_PATH, "repeatable": True},
                {"method": "POST", "path": BOOKINGS_PATH, "repeatable": False},
            ],
        }
        digest = hashlib.sha256(KEY.encode()).hexdigest()
        return {
            "fleet": {"join_window_s": self._join_window, "request_deadline_s": 600},
            "entries": {
                "e1": {
                    "vm": "vm-e1",
                    "address": f"127.0.0.1:{ENTRY}",
                    "peer_address": f"127.0.0.1:{ENTRY_PEER}",
                    **place,
                }
            },
            "endpoints": endpoints,
            "organisations": {"org": {"keys": [f"sha256:{digest}"], "limits": limits}},
            "groups": {name: {"model": "model", "endpoints": [name]} for name in engines},
            "services": {"booking": booking},
        }
