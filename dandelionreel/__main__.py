"""``python -m dandelionreel``: run an entry host."""

import sys

from dandelionreel.entry_host import main

sys.exit(main())
