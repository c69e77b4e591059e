"""The messages and the authenticated links between the system's own processes."""
