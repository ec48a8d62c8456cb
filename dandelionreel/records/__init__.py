"""Reconstructs the history of jobs from the log lines of many hosts."""

from dandelionreel.records._event_kinds import EventKind
from dandelionreel.records._lines import ReadStats, read_lines
from dandelionreel.records._report import Report, explain_subject
from dandelionreel.records._review import Review, review_logs, view_review
from dandelionreel.records._subject import Subject, SubjectError, parse_subject
from dandelionreel.records._view import view_report

__all__ = (
    'Report',
    'Review',
    'EventKind',
    'Subject',
    'SubjectError',
    'ReadStats',
    'explain_subject',
    'parse_subject',
    'read_lines',
    'review_logs',
    'view_report',
    'view_review',
)
