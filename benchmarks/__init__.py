"""Measurements of the product; none of them gives a verdict in the tests."""
