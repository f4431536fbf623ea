"""wrenhitch: the decisions of a load balancer that every client process carries as a sidecar."""

from wrenhitch.balancer import Balancer
from wrenhitch.interface import Settings

__all__ = ["Balancer", "Settings"]
