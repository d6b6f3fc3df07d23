#!/usr/bin/env python3
"""Makes the site file of a variant: the operators' site file, overlaid with a file of deploy/sites.

Tables are merged field by field; a list of tables ([[class]], [[tenant]], ...) replaces the whole list. The files
that the bench reads from the folder of a site are copied too. The output goes to build/sites, which git ignores, so
that nothing of the operators' files enters the repository. Prints the path of the site file. If an input is missing
or can't be read, prints one line that names it and exits with status 2.
"""
import argparse
import json
import pathlib
import shutil
import sys
import tomllib

COMPANION_FILES = ("real.json", "wire.json", "unlock.txt", "design.json")


def overlay_tables(below, above):
    """Returns `below` overlaid with `above`: tables are merged field by field, other values replaced."""
    if not (isinstance(below, dict) and isinstance(above, dict)):
        return above
    return below | {name: overlay_tables(below[name], value) if name in below else value
                    for name, value in above.items()}


def toml_lines(table, path=()):
    """Returns the lines of a TOML table: first its plain fields, then its tables and lists of tables."""
    lines = []
    for name, value in table.items():
        if not is_table(value) and not is_table_list(value):
            lines.append(f"{name} = {json.dumps(value)}")
    for name, value in table.items():
        table_path = (*path, name)
        for head, each in ([("[{}]", value)] if is_table(value) else
                           [("[[{}]]", one) for one in value] if is_table_list(value) else []):
            lines += ["", head.format(".".join(table_path)), *toml_lines(each, table_path)]
    return lines


def is_table(value):
    """Returns whether the value is a TOML table."""
    return isinstance(value, dict)


def is_table_list(value):
    """Returns whether the value is a list of TOML tables."""
    return isinstance(value, list) and bool(value) and all(is_table(each) for each in value)


def main():
    """Makes the site file that the command line asks for."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("variant", type=pathlib.Path, help="the variant, a file of deploy/sites")
    parser.add_argument("--site", type=pathlib.Path,
                        default=pathlib.Path("../given/kit/sites/krakow-premiums.toml"),
                        help="the operators' site file (default: %(default)s)")
    parser.add_argument("--out", type=pathlib.Path, default=pathlib.Path("build/sites"),
                        help="folder of the output (default: %(default)s)")
    options = parser.parse_args()
    sources = []
    for path, error_text in (
            (options.site, "cannot read the operators' site file, which is not in this repository"),
            (options.variant, "cannot read the variant")):
        try:
            sources.append(tomllib.loads(path.read_text()))
        except (OSError, ValueError) as error:
            sys.exit(report_error(f"{error_text}: {path}: {error}"))
    missing = [name for name in COMPANION_FILES[:3] if not (options.site.parent / name).is_file()]
    if missing:
        sys.exit(report_error(f"missing in the folder of the operators' site file: {', '.join(missing)}"))
    site = overlay_tables(*sources)
    folder = options.out / options.variant.stem
    folder.mkdir(parents=True, exist_ok=True)
    site_path = folder / f"{options.variant.stem}.toml"
    text = "\n".join(toml_lines(site)) + "\n"
    if tomllib.loads(text) != site:
        sys.exit(report_error(f"{site_path} not written: its text does not parse back to the merged site"))
    site_path.write_text(text)
    for name in COMPANION_FILES:
        if (options.site.parent / name).is_file():
            shutil.copyfile(options.site.parent / name, folder / name)
    print(site_path)


def report_error(text):
    """Prints an error message; returns the exit status."""
    print(f"make_site: {text}", file=sys.stderr)
    return 2


if __name__ == "__main__":
    main()
