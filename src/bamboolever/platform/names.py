"""The platform's headers, paths, kinds of objects and environment variables."""

# Environment variables.
SETTINGS_FILE_VARIABLE = "BAMBOOLEVER_NODE_FILE"

# Headers, as sent; received names are compared in lower case.
ATTEMPT_ID = b"Bamboolever-Attempt-Id"
DEADLINE = b"Bamboolever-Deadline-Remaining"
PREFIX = b"Bamboolever-Prompt-Prefix"
LAST_EVENT_ID = b"Last-Event-Id"
SIGNATURE = b"Bamboolever-Response-Signature"
WORKSPACE = b"Bamboolever-Tenant"
EXPECTED_INSTANCE = b"Bamboolever-Expected-Instance"
NOT_EXECUTED = b"Bamboolever-Not-Executed"
INSTANCE_ID = b"Bamboolever-Instance-Id"
RETRY_AFTER = b"Retry-After"
LEAVING = b"Server-Leaving"
LIMIT = b"Server-Limit"
SERVER_LOAD = b"Bamboolever-Server-Load"
STORE_ERA = b"Store-Era"
MODEL = b"Bamboolever-Model"
TOKEN_COUNTS = b"Bamboolever-Token-Counts"
REQUEST_PRIORITY = b"Bamboolever-Request-Priority"
WEIGHT_VERSION = b"Bamboolever-Weight-Versions"
EXPECTED_VERSION = b"Bamboolever-Expected-Version"
LAYER_PATH = b"Path"
AUTHORIZATION = b"Authorization"
KEY_SCHEME = b"token"
# Headers with these prefixes are the platform's.
HEADER_PREFIXES = (b"bamboolever-", b"server-", b"store-")
# The platform's headers that nothing decodes, with the reason.
UNUSED_HEADERS = {
    b"Bamboolever-Cold-Remaining-Ms": "the store's list and the agents tell of starts",
    b"Bamboolever-Length-Hint": "forwarded; no decision needs the response's length",
}
USED_HEADERS = frozenset(
    {
        ATTEMPT_ID,
        DEADLINE,
        PREFIX,
        SIGNATURE,
        WORKSPACE,
        EXPECTED_INSTANCE,
        NOT_EXECUTED,
        INSTANCE_ID,
        LEAVING,
        LIMIT,
        SERVER_LOAD,
        STORE_ERA,
        MODEL,
        TOKEN_COUNTS,
        REQUEST_PRIORITY,
        WEIGHT_VERSION,
        EXPECTED_VERSION,
    }
)

# Paths.
READINESS_PATH = b"/-/readiness"
ORDER_PATH = b"/-/order"
REPORT_PATH = b"/-/report"
MANIFEST_PATH = "/-/manifest/"
PIECE_PATH = "/-/piece/"
STAGE_PUT_PATH = "/-/stage-put/"
STAGE_GET_PATH = "/-/stage-get/"
OBJECTS_PATH = "/-/objects/"

# Kinds of objects in the store.
CONFIGURATION_KIND = "config"
CONFIGURATION_NAME = "main"
UPSTREAM_KIND = "servers"
VERSION_KIND = "versions"
EVACUATION_KIND = "evacuations"
