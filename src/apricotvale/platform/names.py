"""Header fields and paths of the platform's HTTP interface."""

REQUEST_ID = "Request-Id"
# How many milliseconds the caller still waits; a duration, not a point in time.
DEADLINE_MS = "Deadline-Ms"
RETRY_AFTER = "Retry-After"
WAIT_MS = "Wait-Ms"
# The id of the only upstream that may run the request.
EXPECT_INSTANCE = "Expect-Instance"
NOT_EXECUTED = "Not-Executed"
# An upstream's signature of its answer.
SERVER_STAMP = "Server-Stamp"
# Present with the value 1 in all answers of an upstream that leaves.
SERVER_LEAVING = "Server-Leaving"
# How many requests in a second an upstream takes from all processes together, as a decimal number.
SERVER_LIMIT = "Server-Limit"
LAST_EVENT_ID = "Last-Event-Id"
# Request id of the submission that brought the first event of the stream that is taken up.
RESUMES = "Resumes"
# A single number despite the plural: the version under which the run began.
WEIGHT_VERSIONS = "Weight-Versions"
EVENT_VERSION_FIELD = "weight-versions"
# The caller's estimate of the output tokens: correct at the median, but often far off.
LENGTH_HINT = "Length-Hint"
# Two numbers: the tokens of the prompt, and the maximum of the output.
TOKEN_USAGE = "Token-Usage"
# The parts of an item's prompt in their order: `ID:TOKENS,ID:TOKENS`, with hexadecimal ids.
PROMPT_PREFIX = "Prompt-Prefix"
# Urgency of a run for the engine, from 0 (first) to 9.
REQUEST_PRIORITY = "Request-Priority"

# Identifies the customer that sends a request; never forwarded.
API_KEY = "X-Api-Key"
# Tells an upstream the customer's name.
TENANT = "Tenant"
# Header fields of callers that are removed before a customer's name is set.
CUSTOMER_FIELDS = frozenset({API_KEY.lower(), TENANT.lower()})

# Header fields that are not forwarded: hop-by-hop fields of HTTP and those set anew for each hop.
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

# Calls to the infrastructure.
LEASE_HOLDER = "Lease-Holder"
FENCING_TOKEN = "Fencing-Token"
USAGE_PATH = "/usage"
WINDOW_ID_FIELD = "window_id"
COUNTS_FIELD = "counts"
