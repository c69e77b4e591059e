"""Clients for endpoints: request connections, load, cache events and expert counters."""
