"""Tests, one file for each feature."""
