"""The command itself: exit statuses, messages and how it ends when it is interrupted."""

import io
import json
import os
import signal
import socket
import subprocess
import sys
import unittest
from pathlib import Path
from tempfile import TemporaryDirectory

from carawayhub.context import Environment
from carawayhub.core import main
from carawayhub.status import ExitStatus

ROOT = Path(__file__).parent.parent
COMMAND = [sys.executable, "-m", "carawayhub"]
WAIT_S = 60


def run_here(*words: str) -> tuple[ExitStatus, str, str]:
    env = Environment(stdin=io.StringIO(), stdout=io.StringIO(), stderr=io.StringIO())
    status = main(words, env)
    return status, env.stdout.getvalue(), env.stderr.getvalue()


class WordsTest(unittest.TestCase):
    """Wrong words and files."""

    def test_an_unknown_command_is_named(self) -> None:
        status, _, err = run_here("bogus")
        self.assertEqual(status, ExitStatus.USAGE)
        self.assertIn("bogus", err)

    def test_settings_that_cannot_be_used_name_file_and_key(self) -> None:
        with TemporaryDirectory() as folder:
            path = Path(folder) / "entry.json"
            path.write_text('{"name": "e", /* a comment */ "nmae": 1}')
            status, _, err = run_here("entry", "--settings", str(path))
        self.assertEqual(status, ExitStatus.USAGE)
        self.assertIn("entry.json", err)
        self.assertIn("nmae", err)
        self.assertIn("6005", err)

    def test_missing_settings_say_so(self) -> None:
        status, _, err = run_here("agent", "--settings", "/nonexistent/agent.json")
        self.assertEqual(status, ExitStatus.USAGE)
        self.assertIn("No such file", err)

    def test_a_process_that_does_not_answer_is_named(self) -> None:
        status, out, err = run_here("status", "127.0.0.1:1", "--json")
        self.assertEqual(status, ExitStatus.TARGET_UNREACHABLE)
        self.assertEqual(json.loads(out), [])
        self.assertIn("127.0.0.1:1", err)

    def test_an_address_that_is_none_is_wrong_usage(self) -> None:
        status, _, err = run_here("audit", "nonsense")
        self.assertEqual(status, ExitStatus.USAGE)
        self.assertIn("nonsense", err)


class ProcessTest(unittest.TestCase):
    """The command as a process."""

    def entry_settings(self, folder: str, listen: str) -> str:
        settings = {
            "name": "e1",
            "vm": "vm-e1",
            "failure_domain": "brest",
            "region": "west",
            "listen": listen,
            "peer_listen": "127.0.0.1:0",
            "operator_listen": "127.0.0.1:0",
            "platform": "http://127.0.0.1:1",
            "system_key": "0123456789abcdef",
        }
        path = Path(folder) / "e1.json"
        path.write_text(json.dumps(settings))
        return str(path)

    def test_a_port_in_use_gives_a_word_and_no_traceback(self) -> None:
        with socket.socket() as taken, TemporaryDirectory() as folder:
            taken.bind(("127.0.0.1", 0))
            taken.listen()
            address = f"127.0.0.1:{taken.getsockname()[1]}"
            path = self.entry_settings(folder, address)
            done = subprocess.run(
                [*COMMAND, "entry", "-s", path],
                capture_output=True,
                text=True,
                timeout=WAIT_S,
                check=False,
                cwd=ROOT,
            )
        self.assertEqual(done.returncode, ExitStatus.PORT_IN_USE)
        self.assertIn(address, done.stderr)
        self.assertNotIn("Traceback", done.stderr)

    def test_ctrl_c_ends_the_demo_with_a_word(self) -> None:
        process = subprocess.Popen(
            [*COMMAND, "demo"],
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
            cwd=ROOT,
            # Who starts the tests in the background of a shell has Ctrl-C ignored, and children
            # inherit that.
            preexec_fn=lambda: signal.signal(signal.SIGINT, signal.SIG_DFL),
        )
        assert process.stdout is not None
        while "ready" not in process.stdout.readline():
            self.assertIsNone(process.poll())
        process.send_signal(signal.SIGINT)
        _, err = process.communicate(timeout=WAIT_S)
        self.assertEqual(process.returncode, ExitStatus.INTERRUPTED)
        self.assertIn("interrupted", err)
        self.assertNotIn("Traceback", err)

    def test_a_closed_standard_input_does_no_harm(self) -> None:
        """The demo dies with an assertion of its event loop.

        It was started with standard input closed; its first socket got the number 0, which the
        event loop refuses to close.
        """
        code = (
            "import os; os.close(0)\n"
            "from carawayhub.streams import reserve_standard_streams\n"
            "reserve_standard_streams()\n"
            "import socket; print(socket.socket().fileno())"
        )
        done = subprocess.run(
            [sys.executable, "-c", code],
            capture_output=True,
            text=True,
            timeout=WAIT_S,
            check=True,
            cwd=ROOT,
            stdin=os.open(os.devnull, os.O_RDONLY),
        )
        self.assertGreater(int(done.stdout), 2)


if __name__ == "__main__":
    unittest.main()
