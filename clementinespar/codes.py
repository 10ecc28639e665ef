"""Numbered result codes.

Codes are stable: a number is never reused. ``docs/result-codes.md`` has the same table
with the operator's action for each code; a test keeps the two equal.
"""

import enum


class ResultCode(enum.IntEnum):
    """Result of an operation, the same number on every node and in every log line."""

    OK = 0

    # 1xx: invalid settings and documents.
    SETTING_UNKNOWN = 100
    SETTING_MISSING = 101
    SETTING_INVALID = 102
    SETTINGS_UNREADABLE = 103
    DOCUMENT_UNREADABLE = 110
    DOCUMENT_INVALID = 111
    DOCUMENT_TOO_LARGE = 112

    # 2xx: records of the log that have no effect.
    RECORD_DUPLICATE = 200
    RECORD_INVALID = 201
    RECORD_TOO_OLD = 202
    RECORD_ISSUED_AHEAD = 203
    DOCUMENT_CONFLICT = 210
    DOCUMENT_NOT_ON_TRIAL = 211
    HOST_UNKNOWN = 220
    HOST_NOT_IN_POOL = 221
    HOST_REVISION_CONFLICT = 222
    HOST_ALREADY_OUT = 223
    HOST_NOT_OUT = 224
    POOL_UNKNOWN = 225
    BUDGET_EXCEEDED = 226
    WAVE_CONFLICT = 230
    WAVE_UNKNOWN = 231
    WAVE_PAUSED = 232
    DUTY_HELD = 240
    DUTY_NOT_HELD = 241
    CLAIM_HELD = 250
    CLAIM_TOO_OLD = 251
    CLAIM_NOT_HELD = 252

    # 3xx: requests that were refused and not run.
    SERVICE_UNKNOWN = 300
    REQUEST_INVALID = 301
    REQUEST_TOO_LARGE = 302
    QUEUE_FULL = 303
    DEADLINE_TOO_SHORT = 304
    DEADLINE_PASSED = 305
    TEAM_QUOTA_EXCEEDED = 306
    NO_TARGET = 307
    TARGETS_REFUSED = 308
    RETRY_BUDGET_EMPTY = 309
    NODE_STOPPING = 310
    CLAIM_UNAVAILABLE = 311
    REQUEST_ID_TOO_OLD = 312
    REQUEST_CANCELLED = 313
    OWNER_UNREACHABLE = 314

    # 4xx: requests whose outcome is unknown.
    OUTCOME_UNKNOWN = 400
    TARGET_SILENT = 401
    TARGET_CONNECTION_LOST = 402
    ANSWER_MISMATCH = 403
    OWNER_LOST = 404
    ALREADY_CLAIMED = 405
    REQUEST_FAILED_REPEATEDLY = 406  # formerly 315, which wrongly meant not run
    REQUEST_ID_EXPIRED = 407

    # 5xx: the platform and peers.
    LOG_UNAVAILABLE = 500
    LOG_REPLY_LOST = 501
    LOG_RECORDS_EXPIRED = 502
    PLATFORM_UNAVAILABLE = 510
    PLATFORM_REFUSED = 511
    HOST_LIST_STALE = 512
    PEER_UNAVAILABLE = 520
    NOT_READY = 530
    INTERNAL_ERROR = 599

    # 6xx: jobs, workers and the store of the jobs.
    CALL_NOT_SENT = 600
    CALL_UNANSWERED = 601
    STORE_REFUSED = 610
    STORE_UNANSWERED = 611
    STORE_FENCED = 612
    STORE_HISTORY_GONE = 613
    ENTRY_INVALID = 614
    JOB_INVALID = 620
    JOB_TOO_LARGE = 621
    QUEUE_UNKNOWN = 622
    JOB_UNKNOWN = 623
    JOB_OWNER_UNKNOWN = 624
    KEY_UNKNOWN = 625
    KEYS_STALE = 626
    POOL_OVERLOADED = 627
    TEAM_OVERLOADED = 628
    TEAM_UNKNOWN = 629
    WORKER_REFUSED = 630
    WORKER_SILENT = 631
    HOST_ACTION_REFUSED = 640
    CALLER_TOO_SLOW = 650
    CALLERS_OVER_LIMIT = 651
