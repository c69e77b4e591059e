"""Merges the nodes that several files give for one object.

Mappings merge key by key; a scalar or a list replaces what was there; ``null`` removes it. The
merge is associative: a removal is kept as a ``null`` until ``finished`` takes it out, and a mapping
that follows a removal says so, because else the value beneath would show through again.
"""

from dataclasses import replace

from carawayhub.config.syntax import Array, Node, Object, Scalar


def merge(base: Node | None, over: Node) -> Node:
    """Return ``over`` laid on ``base``, which None leaves out."""
    if base is None or not isinstance(over, Object) or over.replaces:
        return over
    if not isinstance(base, Object):
        return replace(over, replaces=True)
    members = dict(base.members)
    for name, node in over.members.items():
        members[name] = merge(members.get(name), node)
    return Object(members, over.file, over.line, base.replaces)


def finished(node: Node) -> Node | None:
    """Return the node without what was removed, or None where it was removed itself."""
    match node:
        case Scalar(value=None):
            return None
        case Object(members=members):
            kept = {name: finished(each) for name, each in members.items()}
            return replace(node, members={k: v for k, v in kept.items() if v is not None})
        case _:
            return node


def plain(node: Node) -> object:
    """Return the node as plain Python values, without positions."""
    match node:
        case Scalar(value=value):
            return value
        case Array(items=items):
            return [plain(item) for item in items]
        case Object(members=members):
            return {name: plain(each) for name, each in members.items()}
