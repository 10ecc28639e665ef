"""Fields that every record of the log has."""

import pydantic


class Record(pydantic.BaseModel):
    """Base of all records; subclasses add ``kind`` and their own fields."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    record_id: str = pydantic.Field(min_length=1, max_length=80)
    issued_ms: int = pydantic.Field(ge=0)  # wall time of the author
    author: str = pydantic.Field(min_length=1, max_length=80)  # node or operator
