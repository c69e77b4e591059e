"""Replies that list the entries and models available to a caller."""

import msgspec

from carawayhub.config.model import Configuration, Organisation
from carawayhub.entry.replies import Reply, json_reply
from carawayhub.routing.directory import EntriesAnswer


class EntryAddress(msgspec.Struct):
    """One entry that a caller may use."""

    address: str


class EntriesBody(msgspec.Struct):
    """The entries that a caller should use, in order of preference.

    Attributes:
        entries: The entries.
        keep_until: Unix time until which the answer may be cached.
        ttl_s: The same in seconds from now, for callers whose clock is wrong.
    """

    entries: list[EntryAddress]
    keep_until: float
    ttl_s: float


class ModelRow(msgspec.Struct):
    """A model in the list of models."""

    id: str
    object: str = "model"


class ModelsBody(msgspec.Struct):
    """The models that an organisation may use."""

    data: list[ModelRow]
    object: str = "list"


def entries_reply(found: EntriesAnswer) -> Reply:
    """Return the reply that lists the entries to use."""
    addresses = [EntryAddress(address) for address in found.addresses]
    return json_reply(EntriesBody(addresses, found.keep_until, found.ttl))


def models_reply(cfg: Configuration, organisation: Organisation) -> Reply:
    """Return the reply that lists the models an organisation may use."""
    names = {
        group.model
        for group in cfg.groups.values()
        if not group.organisations or organisation.name in group.organisations
    }
    return json_reply(ModelsBody([ModelRow(name) for name in sorted(names)]))
