"""Base class of all messages, with fast initialization of default values."""

from dataclasses import dataclass, fields
from typing import ClassVar

import betterproto as bp


class WireMessage(bp.Message):
    """A message whose default values are set at construction, so that reading a field is fast.

    `kind_name` identifies the class in counters, log fields, fault reasons and schedules.
    """

    kind_name: ClassVar[str]

    __getattribute__ = object.__getattribute__

    def __post_init__(self):
        fields, is_empty = self.__dict__, True
        for name, default in self.defaults:
            if fields[name] is bp.PLACEHOLDER:
                fields[name] = default()
            else:
                is_empty = False
        fields |= {
            "_serialized_on_wire": not is_empty,
            "_unknown_fields": b"",
            "_group_current": {},
        }

    def __setattr__(self, name, value):
        self.__dict__["_serialized_on_wire"] = True
        self.__dict__[name] = value


def message(cls=None, *, kind_name=None):
    """Turn a class into a message; `kind_name` defaults to the name of the class."""
    if cls is None:
        return lambda cls: message(cls, kind_name=kind_name)
    message_class = dataclass(eq=False, repr=False)(cls)
    message_class.defaults = [
        (field.name, message_class._betterproto.default_gen[field.name])
        for field in fields(message_class)
    ]
    message_class.kind_name = kind_name or cls.__name__
    return message_class
