"""Which endpoint speaks for each lock-step group."""

from carawayhub.config.model import Configuration


def group_leaders(cfg: Configuration) -> dict[str, str]:
    """Return for each further endpoint of a lock-step group the one that holds rank 0.

    The agent beside rank 0 alone knows whether the group steps.
    """
    return {
        name: group.endpoints[0]
        for group in cfg.groups.values()
        if group.ranks > 1
        for name in group.endpoints[1:]
    }
