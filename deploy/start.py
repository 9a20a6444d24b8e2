"""Start a process of the deployment: `python3 deploy/start.py ROLE`; ROLE is entry or control."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from apricotvale.platform.start import main  # noqa: E402

main()
