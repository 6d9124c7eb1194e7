from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Success

from carobroute.settings import (
    Settings,
    load_settings,
    parse_settings,
    parse_yaml,
    read_secret,
)

ENTRY = """
instance: {name: entry-1, role: entry, data_centre: suva, region: viti-levu}
platform:
  table_url: http://127.0.0.1:1
  objects_url: http://127.0.0.1:1
  instances_url: http://127.0.0.1:1
entry: {http_bind: "127.0.0.1:0"}
"""


def paths(text):
    return {fault.path: fault for fault in parse_settings(text).failure().faults}


def test_whole_file_with_defaults():
    loaded = parse_settings(ENTRY).unwrap()
    assert loaded.entry.http_bind == "127.0.0.1:0"
    assert loaded.links.ping_busy_ms == 500
    assert loaded.local is None


def test_all_faults_come_at_once():
    text = ENTRY.replace("entry-1", "entry 1").replace("role: entry", "role: entri")
    text += "links: {silence_ms: soon, max_queued: 0, pin_busy_ms: 3}\n"
    faults = paths(text)
    assert set(faults) == {
        "instance.name",
        "instance.role",
        "links.silence_ms",
        "links.max_queued",
        "links.pin_busy_ms",
    }
    assert faults["instance.role"].expected == "one of entry, local"
    assert faults["links.pin_busy_ms"].hint == "did you mean 'ping_busy_ms'?"
    assert faults["links.silence_ms"].got == "'soon'"


def test_role_wants_its_own_section_only():
    assert "local" in paths(ENTRY.replace("role: entry", "role: local"))
    both = ENTRY + "local: {target: t, service: s, url: 'http://h:1'}\n"
    assert paths(both)["local"].expected == "none"


def test_tls_needs_both_files():
    text = ENTRY.replace('0"}', '0", tls_key_file: a.pem}')
    assert "entry.tls_certificate_file" in paths(text)


def test_files_are_relative_to_the_settings_file(tmp_path):
    (tmp_path / "token").write_text("# operators\nsecret-1\n\n")
    file = tmp_path / "s.yaml"
    file.write_text(ENTRY + "operator: {token_file: token}\n")
    loaded = load_settings(file).unwrap()
    assert read_secret(loaded.operator.token_file).unwrap() == ["secret-1"]
    file.write_text(ENTRY + "operator: {token_file: tokens}\n")
    (fault,) = load_settings(file).failure().faults
    assert fault.path == "operator.token_file"
    (tmp_path / "tokens").write_text("# none yet\n")
    (fault,) = load_settings(file).failure().faults
    assert fault.expected == "one token a line"


def test_missing_or_binary_file_is_a_fault(tmp_path):
    assert load_settings(tmp_path / "none").failure().faults
    (tmp_path / "b").write_bytes(b"\xff\xfe\x00")
    assert load_settings(tmp_path / "b").failure().faults


def test_alias_nesting_and_repeated_keys_are_refused():
    assert "aliases" in parse_yaml("a: &x [1]\nb: *x").failure()
    assert "nested" in parse_yaml("[" * 100 + "]" * 100).failure()
    assert "more than once" in parse_yaml("a: 1\na: 2").failure()


PLAIN = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=20),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(
            st.sampled_from(["instance", "platform", "links", "entry", "curve", "name"])
            | st.text(max_size=8),
            inner,
            max_size=4,
        )
    ),
    max_leaves=12,
)


@settings(max_examples=150, deadline=None, derandomize=True)
@given(PLAIN)
def test_any_structure_is_read_or_refused(value):
    import yaml

    result = parse_settings(yaml.safe_dump(value))
    if isinstance(result, Success):
        assert isinstance(result.unwrap(), Settings)
    else:
        assert all(f.got and f.expected for f in result.failure().faults)


@settings(max_examples=150, deadline=None, derandomize=True)
@given(st.text(max_size=200) | st.text("{}[]&*!|>:-#'\"%@ \n\tab0.", max_size=200))
def test_any_text_is_read_or_refused(text):
    result = parse_settings(text)
    assert isinstance(result, Success) or str(result.failure())


@settings(max_examples=150, deadline=None, derandomize=True)
@given(st.integers(0, len(ENTRY) - 1), st.characters())
def test_one_changed_character_is_read_or_refused(at, character):
    parse_settings(ENTRY[:at] + character + ENTRY[at + 1 :])
