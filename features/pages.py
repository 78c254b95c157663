"""Reads code blocks and tables from the documentation pages."""

import dataclasses
import pathlib
import re

ROOT = pathlib.Path(__file__).resolve().parent.parent
PAGES = (
    "README.md",
    *(f"docs/{name}.md" for name in ("DESIGN", "OPERATING", "EMBEDDING", "DEVELOPING")),
)
BLOCK_PATTERN = re.compile(r"^```(\w+)\n(.*?)^```$", re.DOTALL | re.MULTILINE)


@dataclasses.dataclass(frozen=True, slots=True)
class Block:
    """A code block of a documentation page."""

    page: str
    language: str
    text: str


def read_page(page):
    """Returns a page's text."""
    return (ROOT / page).read_text(encoding="utf-8")


def find_blocks(*languages):
    """Returns the code blocks of all pages in the given languages."""
    return [
        Block(page, language, text)
        for page in PAGES
        for language, text in BLOCK_PATTERN.findall(read_page(page))
        if language in languages
    ]


def read_table(page, heading):
    """Returns the cells of the rows of the first table below a heading."""
    section = read_page(page).split(f"\n## {heading}\n", 1)[1].split("\n## ", 1)[0]
    rows = [line for line in section.splitlines() if line.startswith("|")]
    return [[cell.strip() for cell in row[1:-1].split("|")] for row in rows[2:]]


def strip_backquotes(cell):
    """Returns a cell without its backquotes."""
    return cell.replace("`", "")
