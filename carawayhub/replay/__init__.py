"""Recorded traces with stated outcomes, and the local fleet that is driven through them."""
