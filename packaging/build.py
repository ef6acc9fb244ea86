"""Builds the one-file program: launcher, interpreter and all modules.

Usage: ``python packaging/build.py OUTPUT``. Needs a C compiler and the static
library of the running interpreter.
"""

import argparse
import ast
import compileall
import importlib
import importlib.metadata
import importlib.util
import pathlib
import pkgutil
import py_compile
import re
import shutil
import subprocess
import sys
import sysconfig
import tempfile
import zipfile

PACKAGING_DIRECTORY = pathlib.Path(__file__).resolve().parent
SOURCE_DIRECTORY = PACKAGING_DIRECTORY.parent / "src"
SYSTEM_LIBRARIES = re.compile(
    r"/(ld-linux|libc|libm|libdl|libpthread|librt|libutil|libgcc_s)[-.]"
)
EXCLUDED_PACKAGES = frozenset(
    {
        "ensurepip",
        "idlelib",
        "lib2to3",
        "pydoc_data",
        "sqlite3",
        "test",
        "tkinter",
        "turtledemo",
    }
)
SKIPPED_MODULES = frozenset({"acaciarack.__main__"})
# Native code of pyqwest imports these modules when it creates its first client.
RUNTIME_IMPORTS = (
    "opentelemetry.context",
    "opentelemetry.metrics",
    "opentelemetry.propagate",
    "opentelemetry.trace",
)


def import_package() -> None:
    """Imports all modules of the package, which loads their dependencies."""
    sys.path.insert(0, str(SOURCE_DIRECTORY))
    import acaciarack

    for module in pkgutil.walk_packages(acaciarack.__path__, "acaciarack."):
        if module.name not in SKIPPED_MODULES:
            importlib.import_module(module.name)
    for name in ("acaciarack.__main__", *RUNTIME_IMPORTS):
        importlib.import_module(name)


def list_modules() -> dict[str, pathlib.Path]:
    """Returns the files of all loaded modules, by name."""
    files = {}
    for name, module in list(sys.modules.items()):
        location = getattr(module, "__file__", None)
        spec = getattr(module, "__spec__", None)
        if location is None or name == "__main__" or spec is None:
            continue
        files[spec.name] = pathlib.Path(location)
    return files


def list_package_modules(
    modules: dict[str, pathlib.Path],
) -> dict[str, pathlib.Path]:
    """Adds the other modules of loaded packages, which may be imported later.

    Args:
        modules: the files of the loaded modules, by name.

    Returns:
        The files of the loaded modules and of the added modules, by name.
    """
    files = dict(modules)
    for name, location in modules.items():
        if location.name != "__init__.py":
            continue
        if name.split(".")[0] in EXCLUDED_PACKAGES:
            continue
        for path in location.parent.iterdir():
            if path.suffix in (".py", ".so"):
                stem = path.name.split(".")[0]
                if stem not in ("__init__", "__main__"):
                    files.setdefault(f"{name}.{stem}", path)
    return files


def add_lazy_imports(files: dict[str, pathlib.Path]) -> None:
    """Adds standard library modules that packed modules import lazily."""
    pending = [path for path in files.values() if path.suffix == ".py"]
    while pending:
        for name in find_imports(pending.pop()):
            path = find_standard_module(name)
            if path is not None and name not in files:
                files[name] = path
                if path.suffix == ".py":
                    pending.append(path)


def find_imports(path: pathlib.Path) -> set[str]:
    """Returns the names of the modules that a module imports."""
    tree = ast.parse(path.read_bytes())
    names = set()
    for node in ast.walk(tree):
        if isinstance(node, ast.Import):
            names |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom) and not node.level:
            names.add(node.module or "")
    return names | {name.split(".")[0] for name in names}


def find_standard_module(name: str) -> pathlib.Path | None:
    """Returns the file of a standard library module, if it has a file."""
    top = name.split(".")[0]
    if top not in sys.stdlib_module_names or top in EXCLUDED_PACKAGES:
        return None
    try:
        spec = importlib.util.find_spec(name)
    except (ImportError, ValueError):
        return None
    if spec is None or not spec.has_location or spec.origin is None:
        return None
    return pathlib.Path(spec.origin)


def list_libraries(native: list[pathlib.Path]) -> dict[str, pathlib.Path]:
    """Returns the shared libraries that native modules need, by name."""
    libraries: dict[str, pathlib.Path] = {}
    for module in native:
        result = subprocess.run(
            ["ldd", str(module)], capture_output=True, text=True, check=True
        )
        for line in result.stdout.splitlines():
            match = re.search(r"=> (/\S+)", line)
            if match and not SYSTEM_LIBRARIES.search(match[1]):
                path = pathlib.Path(match[1])
                libraries[path.name] = path
    return libraries


def list_metadata(modules: dict[str, pathlib.Path]) -> dict[str, str]:
    """Returns the metadata files of the packed distributions, by path."""
    by_package = importlib.metadata.packages_distributions()
    packages = {name.split(".")[0] for name in modules}
    names = {
        name for package in packages for name in by_package.get(package, ())
    }
    metadata = {}
    for name in sorted(names):
        found = importlib.metadata.distribution(name)
        directory = f"{found.name.replace('-', '_')}-{found.version}.dist-info"
        for part in ("METADATA", "entry_points.txt"):
            text = found.read_text(part)
            if text:
                metadata[f"{directory}/{part}"] = text
    return metadata


def compile_modules(
    files: dict[str, pathlib.Path], directory: pathlib.Path
) -> None:
    """Writes the bytecode of each Python module to ``directory``."""
    for name, location in files.items():
        parts = name.split(".")
        if location.name == "__init__.py":
            parts.append("__init__")
        target = directory.joinpath(*parts).with_suffix(".py")
        target.parent.mkdir(parents=True, exist_ok=True)
        shutil.copyfile(location, target)
    compileall.compile_dir(
        str(directory),
        quiet=2,
        legacy=True,
        ddir="",
        optimize=2,
        invalidation_mode=py_compile.PycInvalidationMode.UNCHECKED_HASH,
    )


def write_native(
    archive: zipfile.ZipFile,
    prefix: str,
    files: dict[str, pathlib.Path],
    directory: pathlib.Path,
) -> None:
    """Adds stripped shared objects and their index to the archive."""
    index = []
    for number, (name, location) in enumerate(sorted(files.items())):
        member = f"{number}-{location.name}"
        stripped = directory / member
        shutil.copyfile(location, stripped)
        subprocess.run(
            ["strip", "--strip-unneeded", str(stripped)], check=False
        )
        archive.write(stripped, prefix + member)
        index.append(f"{name} {member}\n")
    archive.writestr(prefix + "INDEX", "".join(index))


def build_launcher(output: pathlib.Path) -> None:
    """Compiles the launcher and links the interpreter statically."""
    library = pathlib.Path(
        sysconfig.get_config_var("LIBPL")
    ) / sysconfig.get_config_var("LIBRARY")
    command = [
        "cc",
        "-O1",
        "-s",
        "-o",
        str(output),
        str(PACKAGING_DIRECTORY / "launcher.c"),
        f"-I{sysconfig.get_path('include')}",
        str(library),
        "-Wl,--export-dynamic",
        *sysconfig.get_config_var("LIBS").split(),
        *sysconfig.get_config_var("SYSLIBS").split(),
    ]
    subprocess.run(command, check=True)


def build(output: pathlib.Path) -> None:
    """Builds the program at ``output``."""
    import_package()
    files = list_package_modules(list_modules())
    add_lazy_imports(files)
    native = {name: f for name, f in files.items() if f.suffix == ".so"}
    plain = {name: f for name, f in files.items() if f.suffix == ".py"}
    plain["_bootstrap"] = PACKAGING_DIRECTORY / "_bootstrap.py"
    with tempfile.TemporaryDirectory() as name:
        directory = pathlib.Path(name)
        compile_modules(plain, directory / "modules")
        modules = directory / "modules.zip"
        with zipfile.ZipFile(modules, "w", zipfile.ZIP_STORED) as archive:
            # zipimport finds namespace packages by their directory entries.
            for path in sorted((directory / "modules").rglob("*")):
                if path.is_dir() or path.suffix == ".pyc":
                    archive.write(path, path.relative_to(directory / "modules"))
            for path, text in list_metadata(files).items():
                archive.writestr(path, text)
            libraries = list_libraries(list(native.values()))
            write_native(archive, "_native/", native, directory)
            write_native(archive, "_libraries/", libraries, directory)
        launcher = directory / "launcher"
        build_launcher(launcher)
        output.parent.mkdir(parents=True, exist_ok=True)
        with output.open("wb") as file:
            file.write(launcher.read_bytes())
            file.write(modules.read_bytes())
    output.chmod(0o755)


def main() -> None:
    """Reads the arguments and builds the program."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("output", type=pathlib.Path)
    build(parser.parse_args().output)


if __name__ == "__main__":
    main()
