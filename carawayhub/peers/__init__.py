"""Messages and authenticated links between the processes of a system."""
