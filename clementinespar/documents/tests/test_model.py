"""Tests of the document model."""

import pydantic
import pytest

from clementinespar.documents import model

_ADAPTER = pydantic.TypeAdapter(model.Document)


def _values() -> dict[str, object]:
    return {
        "user": "u",
        "hosts": {"h1": {"data_centre": "d1", "rack": "r1"}},
        "pools": {"p1": {"host_ids": ["h1"], "budget": {"min_available": 1}}},
        "services": {"s1": {"pool": "p1", "kinds": {"order": {"repeatable": False}}}},
    }


def test_valid_document_is_read() -> None:
    """Guards against a model that drops or alters declared values."""
    document = _ADAPTER.validate_python(_values())
    assert document.pools["p1"].budget.min_available == 1
    assert not document.services["s1"].kinds["order"].repeatable


def test_required_values_have_no_default() -> None:
    """Guards against a document without a user that is accepted."""
    values = _values()
    del values["user"]
    with pytest.raises(pydantic.ValidationError):
        _ADAPTER.validate_python(values)
