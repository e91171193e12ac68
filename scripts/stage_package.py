"""Copies the package and the pinned packages it needs into one folder for shiv."""

import re
import shutil
import sys
from importlib.metadata import distribution
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
PINNED = re.compile(r"^([A-Za-z0-9._-]+)==(\S+)", re.MULTILINE)


def stage_distribution(name: str, version: str, folder: Path) -> None:
    """Copy the installed files of a distribution, whose version must be the pinned one."""
    found = distribution(name)
    if found.version != version:
        raise SystemExit(f"{name} {found.version} is installed, {version} is pinned")
    for file in found.files or ():
        if ".." in file.parts or "__pycache__" in file.parts:
            continue
        target = folder / file
        target.parent.mkdir(parents=True, exist_ok=True)
        shutil.copyfile(file.locate(), target)


def main(folder: Path) -> None:
    """Fill the folder."""
    pins = PINNED.findall((ROOT / "requirements.txt").read_text(encoding="utf-8"))
    for name, version in pins:
        stage_distribution(name, version, folder)
    shutil.copytree(
        ROOT / "src" / "baobabstream",
        folder / "baobabstream",
        ignore=shutil.ignore_patterns("__pycache__"),
    )


if __name__ == "__main__":
    main(Path(sys.argv[1]))
