"""Code shared by entries and agents: links, configuration in force, operator HTTP, shutdown."""
