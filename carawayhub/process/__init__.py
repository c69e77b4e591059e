"""What entries and agents have in common: links, configuration in force, operators' HTTP, stop."""
