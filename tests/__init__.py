"""The tests; adds the platform's package, which is outside ``src``."""

import pathlib
import sys

_PLATFORM = pathlib.Path(__file__).resolve().parent.parent / "platform"
if str(_PLATFORM) not in sys.path:
    sys.path.insert(0, str(_PLATFORM))
