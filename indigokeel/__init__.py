"""indigokeel: the decisions of a load balancer that every client process carries as a sidecar."""

from indigokeel.balancing.balancer import Balancer
from indigokeel.balancing.settings import Settings

__all__ = ["Balancer", "Settings"]
