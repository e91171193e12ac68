"""Makes the processes that tests start import this checkout."""

import os
from pathlib import Path

os.environ["PYTHONPATH"] = str(Path(__file__).resolve().parent.parent / "src")
