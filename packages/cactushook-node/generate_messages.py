"""Generates ``wire_messages.py`` from ``wire.thrift``.

The daemon imports the generated module, since parsing the definitions takes a large
part of its start. Run it after a change of the definitions::

    .venv/bin/python packages/cactushook-node/generate_messages.py
"""

import pathlib
import typing as t

import thriftpy2
from thriftpy2.thrift import TType

SOURCE = pathlib.Path(__file__).parent / "src" / "cactushook_node"
DEFINITIONS = SOURCE / "wire.thrift"
GENERATED = SOURCE / "wire_messages.py"
HEADER = '''"""Thrift messages between nodes.

Generated from ``wire.thrift`` by ``generate_messages.py``; not edited by hand.
"""

from thriftpy2.thrift import TPayload
from thriftpy2.thrift import TType
'''
_TYPE_NAMES = {
    TType.BOOL: "BOOL",
    TType.I32: "I32",
    TType.I64: "I64",
    TType.STRING: "STRING",
    TType.STRUCT: "STRUCT",
    TType.LIST: "LIST",
    TType.BINARY: "BINARY",
}


def generate() -> str:
    """Returns the text of the generated module."""
    module = thriftpy2.load(str(DEFINITIONS), module_name="definitions_thrift")
    structs = module.__thrift_meta__["structs"] + module.__thrift_meta__["unions"]
    return HEADER + "".join(_class_text(struct) for struct in structs)


def _class_text(struct: t.Any) -> str:
    lines = [
        "",
        "",
        f"class {struct.__name__}(TPayload):",
        f'    """Struct ``{struct.__name__}``."""',
        "",
        "    thrift_spec = {",
    ]
    lines += [
        f"        {number}: {_tuple_text(spec)},"
        for number, spec in struct.thrift_spec.items()
    ]
    lines += ["    }", "", "    def __init__("]
    lines += ["        self,"]
    lines += [f"        {_argument(*field)}," for field in struct.default_spec]
    lines += ["    ):"]
    lines += [f"        {_assignment(*field)}" for field in struct.default_spec]
    return "\n".join(lines) + "\n"


def _tuple_text(spec: tuple[t.Any, ...]) -> str:
    ttype, name, *details, required = spec
    texts = [f"TType.{_TYPE_NAMES[ttype]}", f'"{name}"']
    texts += [_detail_text(detail) for detail in details]
    return f"({', '.join([*texts, repr(required)])})"


def _detail_text(detail: t.Any) -> str:
    """Returns the text of an element type: a type, a struct or a pair of both."""
    match detail:
        case int():
            return f"TType.{_TYPE_NAMES[detail]}"
        case tuple():
            return f"({', '.join(map(_detail_text, detail))})"
    return detail.__name__


def _argument(name: str, default: t.Any) -> str:
    return f"{name}={None if isinstance(default, list) else default!r}"


def _assignment(name: str, default: t.Any) -> str:
    """Returns the text that sets a field; each message gets a list of its own."""
    if isinstance(default, list):
        return f"self.{name} = {default!r} if {name} is None else {name}"
    return f"self.{name} = {name}"


if __name__ == "__main__":
    GENERATED.write_text(generate(), encoding="utf-8")
