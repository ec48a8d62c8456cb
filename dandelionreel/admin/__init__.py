"""The HTTP interface for operators."""

from dandelionreel.admin._admin_api import AdminApi
from dandelionreel.admin._views import DrainBody, PublishBody

__all__ = ('AdminApi', 'DrainBody', 'PublishBody')
