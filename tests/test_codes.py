"""The numbered result codes: complete, consistent and documented."""

import io
import json
import unittest
from pathlib import Path

from carawayhub.cli import reference
from carawayhub.codes import Code, Outcome, meaning
from carawayhub.context import Environment
from carawayhub.core import main
from carawayhub.entry.replies import error_reply
from carawayhub.errors import RequestError
from carawayhub.status import ExitStatus

PAGE = Path(__file__).parent.parent / "docs" / "codes.md"
FIRST_REQUEST_CODE, FIRST_PEER_CODE = 2000, 4000


class CodesTest(unittest.TestCase):
    """The table in the code."""

    def test_every_code_has_a_meaning_that_says_what_to_do(self) -> None:
        for code in Code:
            known = meaning(code)
            self.assertTrue(known.text, code.name)
            self.assertTrue(known.action, code.name)

    def test_what_a_caller_may_be_told_has_a_class_and_an_http_status(self) -> None:
        for code in Code:
            known = meaning(code)
            told = known.outcome is not Outcome.NONE
            self.assertEqual(known.status > 0, told, code.name)
            if FIRST_REQUEST_CODE <= code < FIRST_PEER_CODE:
                self.assertTrue(told, code.name)

    def test_only_an_answer_that_was_not_kept_is_completed_without_an_answer(self) -> None:
        completed = {code for code in Code if meaning(code).outcome is Outcome.COMPLETED}
        self.assertEqual(completed, {Code.OK, Code.RUN_ANSWER_NOT_KEPT})


class CodesPageTest(unittest.TestCase):
    """The table in the docs."""

    def test_the_page_holds_the_table_of_the_code(self) -> None:
        self.assertIn(reference.markdown(), PAGE.read_text())


class CodesCommandTest(unittest.TestCase):
    """The command."""

    def test_json_lists_every_code(self) -> None:
        out = io.StringIO()
        status = main(["codes", "--json"], Environment(stdout=out))
        self.assertEqual(status, ExitStatus.SUCCESS)
        self.assertEqual([row["code"] for row in json.loads(out.getvalue())], sorted(Code))


class ErrorReplyTest(unittest.TestCase):
    """What a caller reads."""

    def test_a_refusal_carries_number_class_and_when_to_come_back(self) -> None:
        reply = error_reply(RequestError(Code.RATE_EXCEEDED, retry_after=1.2))
        body = json.loads(reply.body)["error"]
        self.assertEqual((body["code"], body["outcome"]), (2020, "not_run"))
        self.assertEqual(body["retry_after_s"], 1.2)
        self.assertIn((b"retry-after", b"2"), reply.headers)

    def test_an_entry_vouches_for_no_run_once_request(self) -> None:
        """A caller is told "not run" of a booking that was made.

        It sent the booking through one entry, lost the reply, and sent it again through another,
        which refused it by its rate. The second entry knows nothing of the first attempt.
        """
        reply = error_reply(RequestError(Code.RATE_EXCEEDED).unvouched())
        self.assertEqual(json.loads(reply.body)["error"]["outcome"], "unknown")


if __name__ == "__main__":
    unittest.main()
