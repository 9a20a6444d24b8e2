"""Metrics: sent to statsd, or served in the Prometheus text format by fleet processes."""

from __future__ import annotations

import time

import statsd
from aiohttp import web
from prometheus_client import Counter, Gauge, Histogram, generate_latest

REQUESTS = "requests"
REFUSALS = "refusals"
RETRIES = "retries"
HEDGES = "hedges"
REQUEST_MS = "request_ms"
COMMITS = "commits"

# Bucket bounds, from the time of a cached answer to the deadline of a step.
BUCKETS_S = (0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0)

REQUESTS_TOTAL = Counter("apricotvale_requests", "Final answers to callers.", ["outcome"])
REQUEST_SECONDS = Histogram(
    "apricotvale_request_seconds",
    "From a request's arrival to its final answer.",
    buckets=BUCKETS_S,
)
ATTEMPTS_TOTAL = Counter("apricotvale_attempts", "Sendings to upstreams.", ["outcome"])
LIMITED_SENDS = Counter(
    "apricotvale_limited_sends", "Requests sent to upstreams with a known limit, by kind.", ["kind"]
)
PERMITS = Counter(
    "apricotvale_permits", "Requests that needed a permit of a limited upstream.", ["outcome"]
)
CRASHES_FOUND = Counter(
    "apricotvale_crashes_found", "Ends of upstreams with requests in flight from this process."
)
TRIALS = Counter(
    "apricotvale_trials", "Submissions of requests under suspicion, by outcome.", ["outcome"]
)
REQUESTS_STOPPED = Counter(
    "apricotvale_requests_stopped", "Requests refused because upstreams ended while running them."
)
ITEMS_TOTAL = Counter("apricotvale_items", "Ends of runs of items.", ["outcome"])
OUTPUTS_DISCARDED = Counter(
    "apricotvale_outputs_discarded", "Outputs begun anew under another software or weight version."
)
FIRST_EVENT_SECONDS = Histogram(
    "apricotvale_first_event_seconds",
    "From the arrival of a request to the first event of its stream.",
    buckets=BUCKETS_S,
)
STREAMS_RECORDED = Counter(
    "apricotvale_streams_recorded", "Streams whose origin was recorded before their first event."
)
ORIGIN_RECORD_SECONDS = Histogram(
    "apricotvale_origin_record_seconds",
    "From the choice of a stream's upstream until its origin is recorded.",
    buckets=BUCKETS_S,
)
STREAMS_TAKEN_UP = Counter(
    "apricotvale_streams_taken_up", "Streams that callers took up again.", ["outcome"]
)
KEYS_REJECTED = Counter(
    "apricotvale_keys_rejected", "Requests refused because their key is missing or not known."
)
COMMIT_SECONDS = Histogram(
    "apricotvale_commit_seconds", "From a command to its result.", buckets=BUCKETS_S
)
WRITE_SECONDS = Histogram(
    "apricotvale_write_seconds", "Writes of a control replica to its disk.", buckets=BUCKETS_S
)
MESSAGE_BYTES = Counter(
    "apricotvale_message_bytes", "Bytes of messages sent to own processes, by kind.", ["kind"]
)
START_PROCESSOR_SECONDS = Gauge(
    "apricotvale_start_processor_seconds", "Processor time from the start to the open port."
)
IS_LEADER = Gauge("apricotvale_leads", "Whether this replica leads.")
VOTERS_MISSING = Gauge(
    "apricotvale_voters_missing",
    "Voters that the group lacks for the losses that it has to bear, at the leader.",
)
JOB_BYTES = Gauge(
    "apricotvale_job_bytes", "Bytes of jobs and results held, as of the last new job."
)
HELD_BYTES = Gauge(
    "apricotvale_held_bytes", "Bytes of request bodies and answers that this entry holds."
)
BYTES_REFUSED = Counter(
    "apricotvale_bytes_refused",
    "Requests refused because too many bytes are held, by the bound (entry or upstream).",
    ["bound"],
)
UPSTREAM_BYTES_REJECTED = Counter(
    "apricotvale_upstream_bytes_rejected",
    "Connections to upstreams closed for bytes that exceeded a bound or belonged to no request.",
)
RESULT_COPIES = Counter(
    "apricotvale_result_copies",
    "Pages of results read from a control replica of the same failure domain (near or missed).",
    ["outcome"],
)
CALLERS_CUT = Counter(
    "apricotvale_callers_cut", "Callers disconnected because they did not read their answer."
)
CONNECTIONS_CLOSED = Counter(
    "apricotvale_connections_closed",
    "Connections closed because their peer exceeded a bound, or to make room for others.",
)
WORK_RATIO = Gauge("apricotvale_work_ratio", "Largest ratio of work due to capacity.")
GROUPS_POSTPONED = Counter(
    "apricotvale_groups_postponed", "Groups that could not be complete in time."
)
ITEMS_WAITING = Gauge("apricotvale_items_waiting", "Waiting items by class of urgency.", ["class"])
USAGE_WINDOWS = Counter(
    "apricotvale_usage_windows", "Windows of usage reported or given up.", ["outcome"]
)
USAGE_LATE = Counter(
    "apricotvale_usage_late", "Requests not reported: counted after their window was closed."
)
USAGE_CALLS_FAILED = Counter(
    "apricotvale_usage_calls_failed", "Failed calls to report usage.", ["outcome"]
)
LOG_LINES_DROPPED = Counter("apricotvale_log_lines_dropped", "Log lines over the bound.")
METRICS_PATH = "/metrics"


def record_start() -> None:
    """Record that this process has opened its port."""
    START_PROCESSOR_SECONDS.set(time.process_time())


def make_app() -> web.Application:
    """Return an application that serves the metrics in the Prometheus text format."""

    async def serve(request: web.Request) -> web.Response:
        return web.Response(body=generate_latest(), content_type="text/plain")

    app = web.Application()
    app.router.add_get(METRICS_PATH, serve)
    return app


class Metrics:
    """A statsd client that discards all metrics if no server is configured.

    :param address: address of the server, host:port; empty for none.
    :param process: process name, which prefixes the metric names.
    """

    def __init__(self, address: str, process: str) -> None:
        self.client: statsd.StatsClient | None = None
        if address:
            host, _, port = address.rpartition(":")
            self.client = statsd.StatsClient(host, int(port), prefix=f"apricotvale.{process}")

    def count(self, name: str, amount: int = 1) -> None:
        """Increase a counter."""
        if self.client:
            self.client.incr(name, amount)

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        if self.client:
            self.client.gauge(name, value)

    def timing(self, name: str, milliseconds: float) -> None:
        """Record a duration."""
        if self.client:
            self.client.timing(name, milliseconds)
