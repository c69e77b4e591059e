"""Endpoint selection for requests; performs no network I/O."""
