"""Routing decisions and coordination components, without I/O."""
