"""Log records about documents."""

from typing import Literal

from clementinespar.documents import model
from clementinespar.log import base

Environment = Literal["trial", "production"]


class DocumentPublished(base.Record):
    """Replaces the document of an environment.

    ``replaces`` is the revision that the operator saw (0 if none). The record takes
    effect only if that revision is still in force when the record is applied. The new
    revision is the offset of this record plus one, so revisions start at 1.
    """

    kind: Literal["document_published"] = "document_published"
    environment: Environment
    replaces: int
    document: model.Document


class DocumentPromoted(base.Record):
    """Puts the trial document into force in production.

    ``trial_revision`` must be in force on trial; ``replaces`` is the production
    revision that the operator saw (0 if none), as in `DocumentPublished`.
    """

    kind: Literal["document_promoted"] = "document_promoted"
    trial_revision: int
    replaces: int
