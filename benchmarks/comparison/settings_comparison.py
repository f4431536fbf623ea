"""Compare the values that two checkouts decode from the same settings."""

from __future__ import annotations

import json
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Any

from benchmarks.comparison import settings_decoder
from benchmarks.comparison.messages import PEER_TIMEOUT_S
from benchmarks.comparison.program import ComparisonError
from benchmarks.comparison.settings_samples import SAMPLES, Sample

SETTINGS_KEY = "settings"  # key of the settings in a complete configuration file


def read_samples(files: list[Path]) -> list[Sample]:
    """Return the settings in files that contain either a settings object or a complete configuration."""
    samples = []
    for file in files:
        content = json.loads(file.read_bytes())
        if isinstance(content, dict) and SETTINGS_KEY in content:
            content = content[SETTINGS_KEY]
        samples.append(Sample(str(file), content))
    return samples


def decode(checkout: Path, samples: list[Sample]) -> list[Any]:
    """Return the values that a checkout decodes from the samples, in a process of its own."""
    command = [sys.executable, "-B", "-P", str(Path(settings_decoder.__file__))]
    result = subprocess.run(
        command,
        cwd=checkout,
        env={"PYTHONPATH": str(checkout)},
        input=json.dumps([sample.settings for sample in samples]).encode(),
        capture_output=True,
        timeout=PEER_TIMEOUT_S,
    )
    if result.returncode:
        last_line = result.stderr.decode().rstrip().rpartition("\n")[2]
        raise ComparisonError(f"{checkout}: the settings decoder failed: {last_line}")
    decoded: list[Any] = json.loads(result.stdout)
    return decoded


def compare_settings(base: Path, new: Path, files: list[Path]) -> Iterator[str]:
    """Yield a line for each sample or file that the checkouts decode to different values."""
    samples = [*SAMPLES, *read_samples(files)]
    try:
        decoded = zip(samples, decode(base, samples), decode(new, samples), strict=True)
    except ComparisonError as error:
        yield f"settings: {error}"
        return
    for sample, before, after in decoded:
        mine, theirs = canonical_json(before), canonical_json(after)
        if mine != theirs:
            yield f"settings: {sample.name}: BASE {mine} NEW {theirs}"


def canonical_json(value: Any) -> str:
    """Return the JSON of a decoded value in a form that is the same for equal values only."""
    return json.dumps(value, sort_keys=True, separators=(",", ":"))
