"""The port to the users' platform and its HTTP adapter."""
