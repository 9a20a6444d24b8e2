"""Header fields, paths and words of the platform's interface."""

REQUEST_ID = "Request-Id"
# Milliseconds that the caller still waits, not a moment.
DEADLINE_MS = "Deadline-Ms"
RETRY_AFTER = "Retry-After"
WAIT_MS = "Wait-Ms"
# The upstream that alone may run a request.
EXPECT_INSTANCE = "Expect-Instance"
NOT_EXECUTED = "Not-Executed"
# An upstream's signature of its answer.
SERVER_STAMP = "Server-Stamp"
LAST_EVENT_ID = "Last-Event-Id"
# Despite the plural, one number: the version under which the run began.
WEIGHT_VERSIONS = "Weight-Versions"
EVENT_VERSION_FIELD = "weight-versions"
# The caller's estimate of output tokens, right at the median and often far off.
LENGTH_HINT = "Length-Hint"

HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "host",
        "content-length",
        "expect",
        REQUEST_ID.lower(),
        DEADLINE_MS.lower(),
        EXPECT_INSTANCE.lower(),
    }
)

READY_PATH = "/api/readyz"
CONFIG_PATH = "/api/config"
REPLICA_PATH = "/api/replicas/{id}"
RETIRE_PATH = "/api/retire/{name}"
VERSION_PATH = "/api/version-put"
RESULTS_PATH = "/api/lots/{id}"
ITEM_PATH = "/api/items/{id}"
REPORT_PATH = "/api/report"
ORDER_PATH = "/api/order"
