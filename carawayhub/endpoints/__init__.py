"""Endpoints as the system meets them: connections for requests, and what engines say and obey."""
