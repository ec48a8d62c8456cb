"""One cell: a set of runners and all jobs for them, with one owner that dispatches.

The rooms below know only those before them: ``model``, ``store``, ``decisions``, ``membership``,
``owner``, ``clients``.
"""
