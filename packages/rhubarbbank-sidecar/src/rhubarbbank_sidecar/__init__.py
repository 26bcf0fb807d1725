"""The sidecar, a process that runs beside each upstream."""
