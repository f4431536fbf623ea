"""The state that one process of a sidecar leaves for the next."""
