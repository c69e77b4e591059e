"""The entry process, which admits, routes and relays callers' requests."""
