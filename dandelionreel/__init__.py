"""A cluster scheduler for urgent requests, batch work, services and gangs."""

__version__ = '0.1.0'
