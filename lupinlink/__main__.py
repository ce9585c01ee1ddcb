"""Entry point of ``python -m lupinlink``."""

import sys

from lupinlink.cli import main

sys.exit(main())
