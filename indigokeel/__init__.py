"""indigokeel: the decisions of a load balancer that every client process carries as a sidecar."""

from indigokeel.decision.balancer import Balancer
from indigokeel.decision.interface import Settings

__all__ = ["Balancer", "Settings"]
