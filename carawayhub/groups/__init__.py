"""Lock-step groups: expert maps, map changes and rebalancing decisions."""
