"""Command lines of the tool and the daemon.

Each is imported only when it runs: the libraries of the tool would take memory in
the daemon, which does not use them.
"""


def main() -> int:
    """Run the tool."""
    from dandelionreel.cli._tool import main as run_tool

    return run_tool()


def main_daemon() -> int:
    """Run the daemon."""
    from dandelionreel.cli._daemon import main_daemon as run_daemon

    return run_daemon()
