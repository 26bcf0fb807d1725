"""Routing by route, session, size of model and load, without I/O."""
