"""Prints the fleet's status as tables."""

from rich.console import Console
from rich.table import Table

from bamboolever._operator import FleetStatus


def print_status(status: FleetStatus) -> None:
    """Print one table each of services, agents and entries to standard output."""
    console = Console()
    services = Table("service", "target", "by", "serving", "states", title="Services")
    for name, row in sorted(status.services.items()):
        states = ", ".join(f"{k} {v}" for k, v in sorted(row["states"].items()))
        serving = f"{row['serving_target']}/{row['instances']}"
        services.add_row(name, row["target"], row["changed_by"], serving, states)
    console.print(services)
    agents = Table("instance", "service", "zone", "state", "version", "chunks", "stale")
    for agent in status.agents:
        agents.add_row(
            agent["instance_id"],
            agent["service_name"],
            agent["availability_zone"],
            agent["state"],
            agent["version"],
            f"{agent['chunks_held']}/{agent['chunks_total']}",
            "yes" if agent["is_stale"] else "",
        )
    console.print(agents)
    entries = Table(
        "entry", "zone", "revision", "open calls", "rss", "age s", "refused"
    )
    for entry in status.entries:
        entries.add_row(
            entry["instance_id"],
            entry["availability_zone"],
            str(entry["revision"]),
            str(entry["open_calls"]),
            f"{entry['rss_bytes'] / 1e6:.0f} MB",
            str(entry["age_s"]),
            "; ".join(row["document"] for row in entry["refused_documents"]),
        )
    console.print(entries)
