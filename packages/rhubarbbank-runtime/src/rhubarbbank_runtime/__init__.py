"""Asyncio runtime that executes the effects of the reducers."""
