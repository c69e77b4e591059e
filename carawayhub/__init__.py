"""Load balancer for expert-parallel model groups."""

__version__ = "0.1.0"
