"""What stands in the store: read by every host, written in groups."""

from dandelionreel.cell.store._directory import ConfigurationFolder, JobFolder
from dandelionreel.cell.store._follower import Folder, Follower
from dandelionreel.cell.store._job_book import BookedJob, JobBook
from dandelionreel.cell.store._runner_list import RunnersFolder
from dandelionreel.cell.store._writer import GroupWriter, Written

__all__ = (
    'BookedJob',
    'ConfigurationFolder',
    'Folder',
    'Follower',
    'GroupWriter',
    'JobBook',
    'JobFolder',
    'RunnersFolder',
    'Written',
)
