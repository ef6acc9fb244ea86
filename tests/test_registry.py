"""Registration of plug-ins by name, and errors for wrong names."""

from acaciarack.registry import (
    DuplicatePluginError,
    Registry,
    UnknownPluginError,
)
from tests.support import TestCase


class RegistryTest(TestCase):
    def test_plugin_is_created_by_name(self):
        registry = Registry(kind="shape")
        registry.register("square")(lambda *, side: side * side)
        self.assertEqual(9, registry.create("square", side=3))
        self.assertEqual(("square",), registry.list_names())

    def test_unknown_name_lists_the_known_ones(self):
        registry = Registry(kind="shape")
        registry.register("square")(lambda: None)
        error = self.assertRaises(UnknownPluginError, registry.create, "circle")
        self.assertIn("known are: square", str(error))

    def test_name_is_registered_once(self):
        registry = Registry(kind="shape")
        registry.register("square")(lambda: None)
        self.assertRaises(
            DuplicatePluginError,
            registry.register("square"),
            lambda: None,
        )
