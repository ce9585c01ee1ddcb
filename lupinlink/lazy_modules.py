"""Defers modules of the standard library that Twisted imports for old names only and that cost memory."""

from __future__ import annotations

import sys
from importlib.util import LazyLoader, find_spec, module_from_spec

UNUSED_BY_SERVING = ("http.cookiejar",)  # with urllib.request and what that imports


def load_lazily(name: str) -> None:
    """Load a module at the first use of one of its attributes; no effect if it is loaded already."""
    if name in sys.modules:
        return
    spec = find_spec(name)
    if spec is None or spec.loader is None:
        return
    spec.loader = LazyLoader(spec.loader)
    module = module_from_spec(spec)
    sys.modules[name] = module
    spec.loader.exec_module(module)
    package, _, attribute = name.rpartition(".")
    if package:
        setattr(sys.modules[package], attribute, module)


def defer_unused_modules() -> None:
    """Defer what a serving process never uses; to be called before Twisted is imported."""
    for name in UNUSED_BY_SERVING:
        load_lazily(name)
