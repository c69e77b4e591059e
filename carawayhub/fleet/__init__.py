"""Membership and dissemination of the configuration between processes."""
