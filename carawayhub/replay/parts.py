"""Bases of the objects in a trace."""

import msgspec


class Part(msgspec.Struct, kw_only=True, forbid_unknown_fields=True, omit_defaults=True):
    """An object of a trace; unknown keys are refused."""


class KindPart(Part, tag_field="kind"):
    """An object whose ``kind`` says which class it is."""
