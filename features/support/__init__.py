"""What the steps of several features share."""
