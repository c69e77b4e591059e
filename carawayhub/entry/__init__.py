"""The entry process: callers' requests are admitted, routed and relayed here."""
