#!/usr/bin/env python3
"""Makes the site of a variant: the operators' site file with the choices of a file of deploy/sites laid over it.

Tables are laid over one another field by field; lists of tables ([[class]], [[tenant]], ...) replace the whole
list. The files that the bench reads beside a site are laid there too. All goes under build/sites, which git
ignores: nothing of the operators' files is copied into the repository. Prints the path of the site. Exit status 2
if something is missing or can't be read; what, and where, is said in one line.
"""
import argparse
import json
import pathlib
import shutil
import sys
import tomllib

BESIDE = ("real.json", "wire.json", "unlock.txt", "design.json")


def laid_over(below, above):
    """`above` over `below`: tables field by field, all else whole."""
    if not (isinstance(below, dict) and isinstance(above, dict)):
        return above
    return below | {name: laid_over(below[name], value) if name in below else value
                    for name, value in above.items()}


def written(table, path=()):
    """The lines of a TOML table: plain fields first, then tables, then lists of tables."""
    lines = []
    for name, value in table.items():
        if not is_table(value) and not is_tables(value):
            lines.append(f"{name} = {json.dumps(value)}")
    for name, value in table.items():
        here = (*path, name)
        for head, each in ([("[{}]", value)] if is_table(value) else
                           [("[[{}]]", one) for one in value] if is_tables(value) else []):
            lines += ["", head.format(".".join(here)), *written(each, here)]
    return lines


def is_table(value):
    return isinstance(value, dict)


def is_tables(value):
    return isinstance(value, list) and bool(value) and all(is_table(each) for each in value)


def main():
    words = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    words.add_argument("variant", type=pathlib.Path, help="a file of deploy/sites")
    words.add_argument("--site", type=pathlib.Path, default=pathlib.Path("../given/kit/sites/krakow-premiums.toml"),
                       help="the operators' site file (default: %(default)s)")
    words.add_argument("--out", type=pathlib.Path, default=pathlib.Path("build/sites"))
    wish = words.parse_args()
    read = []
    for path, what in ((wish.site, "the operators' site file; it is not in this repository"),
                       (wish.variant, "the variant")):
        try:
            read.append(tomllib.loads(path.read_text()))
        except (OSError, ValueError) as error:
            sys.exit(complaint(f"{what}: {path}: {error}"))
    missing = [name for name in BESIDE[:3] if not (wish.site.parent / name).is_file()]
    if missing:
        sys.exit(complaint(f"missing beside the operators' site file: {', '.join(missing)}"))
    site = laid_over(*read)
    folder = wish.out / wish.variant.stem
    folder.mkdir(parents=True, exist_ok=True)
    made = folder / f"{wish.variant.stem}.toml"
    text = "\n".join(written(site)) + "\n"
    if tomllib.loads(text) != site:
        sys.exit(complaint(f"{made} would not read back as it was made"))
    made.write_text(text)
    for name in BESIDE:
        if (wish.site.parent / name).is_file():
            shutil.copyfile(wish.site.parent / name, folder / name)
    print(made)


def complaint(text):
    print(f"make_site: {text}", file=sys.stderr)
    return 2


if __name__ == "__main__":
    main()
