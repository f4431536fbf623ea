"""indigokeel: a load-balancing sidecar for HTTP/1.1."""

from indigokeel.balancing.balancer import Balancer
from indigokeel.balancing.settings import Settings

__all__ = ["Balancer", "Settings"]
