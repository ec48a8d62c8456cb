"""Registry of plug-ins by kind and name."""

import enum
from collections.abc import Callable
from typing import Any, TypeVar

Factory = TypeVar('Factory', bound=Callable[..., Any])


class PluginKind(enum.Enum):
    """The interface that a plug-in implements."""

    LOG = 'log'
    HOSTS = 'hosts'
    WORKERS = 'workers'
    PLACEMENT = 'placement'
    ROUTING = 'routing'


class UnknownPlugin(LookupError):
    """No plug-in of that kind is registered under that name."""


class PluginRegistry:
    """Factories of plug-ins by kind and name."""

    def __init__(self) -> None:
        """Start without plug-ins."""
        self._factory_by_name: dict[tuple[PluginKind, str], Callable[..., Any]] = {}

    def register(self, kind: PluginKind, name: str) -> Callable[[Factory], Factory]:
        """Return a decorator that registers a factory under ``kind`` and ``name``."""

        def register_factory(factory: Factory) -> Factory:
            self._factory_by_name[kind, name] = factory
            return factory

        return register_factory

    def plugin_names(self, kind: PluginKind) -> tuple[str, ...]:
        """Return the sorted names of the plug-ins of a kind."""
        found = [name for known, name in self._factory_by_name if known is kind]
        return tuple(sorted(found))

    def create(self, kind: PluginKind, name: str, *args: Any, **options: Any) -> Any:
        """Create an instance of the named plug-in; raises ``UnknownPlugin``."""
        factory = self._factory_by_name.get((kind, name))
        if factory is None:
            allowed = ', '.join(self.plugin_names(kind))
            raise UnknownPlugin(f'no {kind.value} plug-in {name!r}; known: {allowed}')
        return factory(*args, **options)


#: The registry of this process, for built-in and third-party plug-ins.
plugins = PluginRegistry()
