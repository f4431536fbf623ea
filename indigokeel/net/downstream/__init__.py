"""The client side: connections, requests and their responses."""
