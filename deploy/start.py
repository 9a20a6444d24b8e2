"""Start a process of the deployment: `python3 deploy/start.py ROLE`; ROLE is entry or control."""

import gc
import os
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

# A request to reload the settings stays pending until its handler is installed. Its default action
# would end the process.
signal.pthread_sigmask(signal.SIG_BLOCK, [signal.SIGHUP])

# No connection uses TLS here. aiohttp would load the certificates of the system at import, which
# takes 50 ms of processor time at each start.
os.environ.setdefault("SSL_CERT_FILE", os.devnull)

# Nearly all objects that the imports create stay; looking for garbage among them takes a tenth of
# the time to start.
gc.disable()

from apricotvale.platform.start import main  # noqa: E402

main()
