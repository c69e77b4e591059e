"""Choice of an endpoint for a request; library code without a network."""
