"""Expert maps of lock-step groups whose engines accept prepare, hold, arm and go orders.

The agent beside rank 0 of a group decides on changes and issues all orders. Any agent of the group
may finish a change whose issuer is gone. ``docs/design/expert-switch.md`` explains why no pass can
run under two maps.
"""
