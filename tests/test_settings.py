"""Settings files: valid examples, and reports of all faults at once."""

import dataclasses
import pathlib
import tempfile

from acaciarack import settings
from acaciarack.settings import (
    Address,
    Settings,
    SettingsError,
    load_settings,
)
from tests.support import TestCase

EXAMPLES = pathlib.Path(__file__).resolve().parent.parent / "examples"
VALID_SETTINGS = (EXAMPLES / "haugland.toml").read_text()
# Text in the valid file, its invalid replacement, and the key of the fault.
FAULTS = [
    ('name = "entry-oslo-1"', 'name = "Entry 1"', "node.name"),
    ('host = "127.0.0.1"', 'host = "localhost"', "node.host"),
    ("caller_port = 8080", "caller_port = 70000", "node.caller_port"),
    ("link_port = 8082", "link_prot = 8082", "node.link_prot"),
    ('log = "127.0.0.1:7100"', 'log = "127.0.0.1"', "platform.log"),
    ('vm_list = "127.0.0.1:7101"', "", "platform.vm_list"),
    ('hex = "' + "00" * 32, 'hex = "5ec2e7', "keys.sealing[0]"),
    (
        "[[keys.link]]",
        "[[keys.link]]\nhex = 'aa'\n[[keys.link]]",
        "keys.link[0]",
    ),
    ("key_hash = ", "key_hash = 5 # ", "keys.operators[0].key_hash"),
    ("max_requests = 2000", "max_requests = 0", "limits.max_requests"),
    ("progress_seconds = 10", "progress_seconds = nan", "timeouts.progress_"),
    ("quantile = 0.6", 'quantile = "most"', "placement.quantile"),
    ('level = "info"', 'level = "loud"', "logs.level"),
]


class SettingsTest(TestCase):
    def _load(self, text):
        folder = pathlib.Path(self.useTempFolder())
        path = folder / "node.toml"
        path.write_text(text)
        return load_settings(path)

    def useTempFolder(self):  # noqa: N802
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        return folder.name

    def test_examples_pass(self):
        data_centres = {"haugland": "oslo-a", "coulee": "regina-a"}
        for name, expected in data_centres.items():
            settings = load_settings(EXAMPLES / f"{name}.toml")
            self.assertEqual(expected, settings.node.data_centre)
            log = Address(host="127.0.0.1", port=7100)
            self.assertEqual(log, settings.platform.log)
            self.assertNotIn("0000", repr(settings))
            self.assertNotIn("2222", repr(settings))

    def test_each_fault_is_reported_alone(self):
        for old, new, key in FAULTS:
            self.assertIn(old, VALID_SETTINGS)
            text = VALID_SETTINGS.replace(old, new, 1)
            error = self.assertRaises(SettingsError, self._load, text)
            self.assertEqual(1, len(error.faults), error)
            self.assertTrue(error.faults[0].key.startswith(key), error)

    def test_all_faults_are_in_one_report(self):
        text = VALID_SETTINGS
        for old, new, _ in FAULTS:
            text = text.replace(old, new, 1)
        error = self.assertRaises(SettingsError, self._load, text)
        reported = [fault.key for fault in error.faults]
        for _, _, key in FAULTS:
            self.assertTrue(any(at.startswith(key) for at in reported), key)
        self.assertEqual(len(FAULTS), len(reported), error)
        self.assertNotIn("5ec2e7", str(error))
        self.assertIn("one of debug, info, warning, error", str(error))

    def test_keys_are_read_from_files_next_to_the_settings(self):
        folder = pathlib.Path(self.useTempFolder())
        (folder / "seal.hex").write_text("ab" * 32 + "\n")
        inline_key = 'hex = "' + "00" * 32 + '"'
        path = folder / "node.toml"
        path.write_text(
            VALID_SETTINGS.replace(inline_key, 'file = "seal.hex"', 1)
        )
        secret = load_settings(path).keys.sealing[0]
        self.assertEqual(b"\xab" * 32, secret.read_bytes())
        path.write_text(
            VALID_SETTINGS.replace(inline_key, 'file = "none.hex"', 1)
        )
        self.assertRaises(SettingsError, load_settings, path)

    def test_duplicate_key_numbers_are_refused(self):
        key = '[[keys.link]]\nnumber = 1\nhex = "' + "33" * 32 + '"\n'
        text = VALID_SETTINGS.replace(
            "[[keys.operators]]", key + "[[keys.operators]]"
        )
        error = self.assertRaises(SettingsError, self._load, text)
        self.assertEqual(["keys"], [fault.key for fault in error.faults])

    def test_invalid_toml_and_missing_file_are_refused(self):
        self.assertRaises(SettingsError, self._load, "node = [")
        self.assertRaises(SettingsError, load_settings, "/nonexistent.toml")

    def test_every_setting_is_used(self):
        source = pathlib.Path(settings.__file__).parent
        code = "".join(
            path.read_text()
            for path in source.glob("*.py")
            if path.name not in ("settings.py", "_settings_reader.py")
        )
        tables = [field.type for field in dataclasses.fields(Settings)]
        unused = [
            field.name
            for table in tables
            for field in dataclasses.fields(table)
            if f".{field.name}" not in code
        ]
        self.assertEqual([], unused)
