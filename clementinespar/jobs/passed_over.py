"""Why a worker is not the one that gets a task."""

import enum


class Reason(enum.Enum):
    """Why a worker is passed over, as operators see it."""

    # The worker gets no new work at present.
    UNLISTED = "unlisted"  # the directory does not list it
    SILENT = "silent"
    EVACUATED = "evacuated"
    DRAINING = "draining"
    EJECTED = "ejected"
    RESTARTED = "restarted"  # its entry is of another life than its newest report
    UNRECORDED = "unrecorded"  # the store does not have it as in use yet
    # It cannot take this task.
    ISOLATED = "isolated"  # a suspect task has just started there
    CORES = "no_cores"
    MEMORY = "no_memory"
    ACCELERATORS = "no_accelerators"
    LABEL = "no_label"
    LIMIT = "limit_per_worker"
    WHOLE_GANG = "no_room_for_gang"  # not all members find room together
    # Another worker suits it better; see `placement.SCORE_REASONS`.
    FAILED_THERE = "failed_there"  # or a suspect task runs there
    OTHER_RACK = "other_rack"
    SPREAD = "more_of_step"  # it has more tasks of the same lasting step
    SHARED = "fewer_lasting"  # lasting tasks share workers
    SERVING = "serving"  # a filler would run beside more serving tasks
    SLOWER = "slower_beside_image"
    ROOM = "more_room_elsewhere"
    PACKED = "fuller_elsewhere"  # while tasks wait, they are packed
    EQUAL = "equal"  # the first of equally good workers is chosen
