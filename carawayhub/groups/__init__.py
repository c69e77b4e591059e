"""Lock-step groups: expert maps, their change, and rebalancing decisions."""
