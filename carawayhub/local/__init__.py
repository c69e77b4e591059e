"""A fleet inside one process: each entry and agent on a thread with an event loop of its own."""
