"""One cell: a set of runners and all jobs for them, dispatched by one owner.

The packages below are layers; each imports only those before it: ``model``, ``store``,
``decisions``, ``membership``, ``owner``, ``clients``.
"""
