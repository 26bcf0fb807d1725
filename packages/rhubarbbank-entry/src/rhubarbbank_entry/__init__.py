"""Entry host process and operator commands."""
