"""What all messages share: how their defaults are filled in."""

from dataclasses import dataclass, fields
from typing import ClassVar

import betterproto as bp


class WireMessage(bp.Message):
    """A message whose defaults are filled in when it is made.

    Reading a field needs no look-up of them. `kind_name` stands for the class in counters, log
    fields, fault reasons and schedules.
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
    """Make a class a message; its kind is named like the class unless a name is given."""
    if cls is None:
        return lambda cls: message(cls, kind_name=kind_name)
    made = dataclass(eq=False, repr=False)(cls)
    made.defaults = [(each.name, made._betterproto.default_gen[each.name]) for each in fields(made)]
    made.kind_name = kind_name or cls.__name__
    return made
