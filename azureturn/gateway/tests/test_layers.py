"""What a gateway process loads: each module delays its start."""

import subprocess
import sys

import pytest


@pytest.mark.parametrize("package", ["azureturn.core", "azureturn.daemon", "azureturn.settings"])
def test_a_gateway_does_not_load_the_other_form_of_the_product(package: str) -> None:
    """VMs that lost power are back sooner by what is not imported."""
    program = f"import sys, azureturn.gateway.daemon; sys.exit({package!r} in sys.modules)"
    assert subprocess.run([sys.executable, "-c", program], check=False).returncode == 0
