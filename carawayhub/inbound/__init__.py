"""Connections and requests of clients that nobody controls: what they may send, hold and keep open.

All servers of a process share one ``Inbound``. A bound on each connection alone would not bound the
process: clients open as many connections as they like.
"""
