"""Command line of clementinespar."""

import click

import clementinespar
from clementinespar.commands import documents, node, status


@click.group()
@click.version_option(clementinespar.__version__)
def main() -> None:
    """Fleet capacity and maintenance manager."""


main.add_command(node.run_node)
main.add_command(node.check_files)
main.add_command(documents.publish_document)
main.add_command(documents.promote_document)
main.add_command(documents.show_difference)
main.add_command(documents.show_history)
main.add_command(documents.show_document)
main.add_command(status.show_status)
main.add_command(status.show_plan)
main.add_command(status.explain_subject)
