"""The configuration folder: reading, merging, checking, explaining and versions."""
