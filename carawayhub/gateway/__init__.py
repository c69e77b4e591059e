"""HTTP gateway of the fleet: routing, admission control, relaying and retries.

This package is independent of the platform's wire format, which `carawayhub.platform` translates.
"""
