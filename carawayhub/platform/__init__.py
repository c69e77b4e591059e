"""Interfaces to the users' platform and their HTTP adapters."""
