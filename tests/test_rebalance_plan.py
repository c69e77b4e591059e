"""The plan command on a recorded load, and its plot."""

import io
import json
import tempfile
import unittest
from pathlib import Path
from xml.etree import ElementTree

from carawayhub.cli.plan import plan
from carawayhub.context import Environment
from carawayhub.errors import CommandError
from carawayhub.output.plots import Line, Plot, draw
from carawayhub.status import ExitStatus

RECORDING = Path(__file__).parent.parent / "traces" / "load" / "release.jsonl"


class PlanTest(unittest.TestCase):
    """What the command prints and writes."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.stdout = io.StringIO()
        self.env = Environment(stdout=self.stdout, stderr=io.StringIO())

    def test_table_says_what_and_why(self) -> None:
        status = plan(self.env, RECORDING)
        self.assertIs(status, ExitStatus.SUCCESS)
        self.assertIn("move: the gain over the horizon exceeds the cost", self.stdout.getvalue())
        self.assertIn("keep: too few counters so far", self.stdout.getvalue())

    def test_json_shows_a_lower_skew_than_the_first_map(self) -> None:
        plan(self.env, RECORDING, json_output=True, skew_weight=0.75, rebalancing_weight=0.25)
        result = json.loads(self.stdout.getvalue())
        self.assertLess(result["mean_skew"], result["kept_mean_skew"] - 0.2)
        self.assertEqual(result["changes"], sum(point["moves"] for point in result["points"]))

    def test_plot_is_well_formed(self) -> None:
        target = self.folder / "plan.svg"
        plan(self.env, RECORDING, plot=target)
        names = [element.tag.split("}")[1] for element in ElementTree.parse(target).getroot()]
        self.assertEqual(names.count("polyline"), 2)

    def test_errors_name_the_line(self) -> None:
        broken = self.folder / "broken.jsonl"
        lines = RECORDING.read_text().splitlines()
        broken.write_text("\n".join([*lines[:4], '{"at": 50, "counts": [[1]]}']))
        with self.assertRaisesRegex(CommandError, "line 5"):
            plan(self.env, broken)

    def test_a_weight_out_of_range_is_refused(self) -> None:
        with self.assertRaisesRegex(CommandError, "from 0 to 1"):
            plan(self.env, RECORDING, skew_weight=1.5)


class PlotTest(unittest.TestCase):
    """Drawing by itself."""

    def test_text_is_escaped(self) -> None:
        plot = Plot(
            title="<a> & b",
            times=[0.0, 1.0],
            lines=[Line("x", [1.0, 1.0])],
            lines_label="skew",
            bars=[0.0, 0.0],
            bars_label="GB",
        )
        root = ElementTree.fromstring(draw(plot))
        self.assertIn("<a> & b", [element.text for element in root])

    def test_series_must_fit_the_times(self) -> None:
        plot = Plot(title="", times=[0.0], lines=[], lines_label="", bars=[1.0, 2.0], bars_label="")
        with self.assertRaises(ValueError):
            draw(plot)


if __name__ == "__main__":
    unittest.main()
