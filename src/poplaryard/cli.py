"""Command line; the module of a command is imported only when the command is run."""

import importlib

import click

__all__ = ["main"]

# Command name to "module:attribute". Importing lazily keeps `serve` small: the bench
# and fuzz modules pull in libraries that the daemon does not need.
_COMMANDS: dict[str, str] = {
    "audit": "ticket_cli:audit",
    "bench": "bench:bench",
    "entry": "platform.entry:entry",
    "check-config": "settings:check_config",
    "demo": "demo:demo",
    "explain": "ticket_cli:explain",
    "fuzz": "fuzz:main",
    "load": "load:load",
    "serve": "serve:serve",
    "standin": "standin:standin",
    "status": "ticket_cli:status",
    "tenants": "tenants_cli:tenants",
    "ticket": "ticket_cli:ticket",
    "trace": "trace:trace",
}


class _LazyGroup(click.Group):
    """Group that imports a command's module when the command is looked up."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        return sorted(_COMMANDS)

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        path = _COMMANDS.get(cmd_name)
        if path is None:
            return None
        module, attribute = path.split(":")
        return getattr(importlib.import_module(f"poplaryard.{module}"), attribute)


@click.command(cls=_LazyGroup)
@click.version_option(package_name="poplaryard")
def main() -> None:
    """Schedule mixed workloads on shared VMs."""
