"""Routes requests by path, session, model size and load, without I/O."""
