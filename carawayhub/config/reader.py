"""How a node of a file is checked against the kind of value that its key takes.

``Reader.read`` returns the checked value, or None after noting what is wrong with it.
"""

from carawayhub.codes import Code
from carawayhub.config.kinds import Field, Flag, Kind, Many, Number, Part
from carawayhub.config.problem import Problem
from carawayhub.config.spelling import hint
from carawayhub.config.strings import parse
from carawayhub.config.syntax import Array, Node, Object, Scalar

MAX_TEXT = 200


class Reader:
    """Checks nodes and notes what is wrong with them."""

    __slots__ = ("problems",)

    def __init__(self, problems: list[Problem]) -> None:
        self.problems = problems

    def read_object(
        self, node: Node, fields: tuple[Field, ...], path: str
    ) -> dict[str, object] | None:
        """Return the values of an object by target name, or None where any is at fault."""
        if not isinstance(node, Object):
            self._wrong(node, path, "an object")
            return None
        before = len(self.problems)
        known = {field.key for field in fields}
        for key, member in node.members.items():
            if key not in known:
                self._add(member, f"{path}.{key}", Code.CONFIG_UNKNOWN_KEY, hint(key, known))
        values: dict[str, object] = {}
        for field in fields:
            held = node.members.get(field.key)
            if held is not None:
                values[field.target] = self.read(held, field.kind, f"{path}.{field.key}")
            elif field.required:
                self._add(node, f"{path}.{field.key}", Code.CONFIG_MISSING_KEY, "it must be given")
        return values if len(self.problems) == before else None

    def read(self, node: Node, kind: Kind, path: str) -> object:
        """Return the checked value of a node, or None where it is at fault."""
        match kind:
            case Part(fields=fields):
                return self.read_object(node, fields, path)
            case Many():
                return self._many(node, kind, path)
            case Number():
                return self._number(node, kind, path)
            case Flag():
                return self._flag(node, path)
            case _:
                return self._string(node, kind, path)

    def _many(self, node: Node, kind: Many, path: str) -> object:
        if not isinstance(node, Array):
            self._wrong(node, path, "a list")
            return None
        if len(node.items) < kind.least:
            detail = f"the list has {len(node.items)} items, at least {kind.least} are needed"
            self._range(node, path, detail)
            return None
        found: list[object] = []
        for place, item in enumerate(node.items):
            value = self.read(item, kind.item, f"{path}[{place}]")
            if kind.distinct and value is not None and value in found:
                detail = f"the list names {value!r} twice"
                self._add(item, f"{path}[{place}]", Code.CONFIG_DUPLICATE_KEY, detail)
                continue
            found.append(value)
        return tuple(found)

    def _number(self, node: Node, kind: Number, path: str) -> object:
        value = node.value if isinstance(node, Scalar) else None
        if isinstance(value, bool) or not isinstance(value, int | float):
            self._wrong(node, path, "a whole number" if kind.whole else "a number")
            return None
        if kind.whole and not isinstance(value, int):
            self._wrong(node, path, "a whole number")
            return None
        if not kind.low <= value <= kind.high:
            self._range(node, path, f"{value!r} is not from {kind.low:g} to {kind.high:g}")
            return None
        return value if kind.whole else float(value)

    def _flag(self, node: Node, path: str) -> object:
        if isinstance(node, Scalar) and isinstance(node.value, bool):
            return node.value
        self._wrong(node, path, "true or false")
        return None

    def _string(self, node: Node, kind: Kind, path: str) -> object:
        text = node.value if isinstance(node, Scalar) else None
        if not isinstance(text, str):
            self._wrong(node, path, "a string")
            return None
        if not 0 < len(text) <= MAX_TEXT or not text.isprintable():
            self._range(node, path, f"write 1 to {MAX_TEXT} printable letters")
            return None
        try:
            return parse(text, kind)
        except ValueError as exc:
            self._range(node, path, f"{text!r} {exc}")
            return None

    def _wrong(self, node: Node, path: str, wanted: str) -> None:
        self._add(node, path, Code.CONFIG_WRONG_TYPE, f"it is {_describe(node)}; write {wanted}")

    def _range(self, node: Node, path: str, detail: str) -> None:
        self._add(node, path, Code.CONFIG_VALUE_OUT_OF_RANGE, detail)

    def _add(self, node: Node, path: str, code: Code, detail: str) -> None:
        self.problems.append(Problem(node.file, node.line, path, code, detail))


def _describe(node: Node) -> str:
    match node:
        case Object():
            return "an object"
        case Array():
            return "a list"
        case Scalar(value=None):
            return "null"
        case Scalar(value=bool() as value):
            return str(value).lower()
        case Scalar(value=str() as value):
            return f"the string {value[:40]!r}"
        case Scalar(value=value):
            return f"the number {value}"
