"""The state that one process of a sidecar stores for the next one."""
