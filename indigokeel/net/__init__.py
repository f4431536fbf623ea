"""The network side of the sidecar: sockets, HTTP/1.1, discovery and the admin address."""
