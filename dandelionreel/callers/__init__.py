"""HTTP API for callers: requests to services, and jobs."""

from dandelionreel.callers._caller_api import CallerApi
from dandelionreel.callers._relay import ZoneRelay

__all__ = ('CallerApi', 'ZoneRelay')
