"""Steps for the peers that a host without the store asks for a newer configuration."""

import random

from behave import given, then, when

from dandelionreel.cell.membership._peer_rotation import PeerRotation

ROUNDS = 20
SEEDS = 50


class AskedPeers:
    """Peers that reply in rounds; ``confirming`` hosts confirm the configuration."""

    def __init__(self, count, confirming, seed):
        self.hosts = [f'n-{number}' for number in range(count)]
        self.rotation = PeerRotation(random.Random(seed).shuffle)
        self.confirming = set(self.hosts[:confirming])
        #: Whether some host confirmed the configuration, for each round.
        self.confirmed = []
        #: The hosts that were asked in each round.
        self.chosen = []

    def ask(self):
        self.confirmed = []
        for _ in range(ROUNDS):
            chosen = self.rotation.choose_peers(self.hosts)
            self.chosen.append(chosen)
            assert len(set(chosen)) == len(chosen) <= len(self.hosts), chosen
            for host in chosen:
                if host in self.confirming:
                    self.rotation.record_confirmation(host)
                else:
                    self.rotation.record_failure(host)
            self.confirmed.append(bool(self.confirming.intersection(chosen)))


@given('{count:d} peers, of which {confirming:d} can confirm a configuration')
def make_peers(context, count, confirming):
    context.cells = [AskedPeers(count, confirming, seed) for seed in range(SEEDS)]


@when('a host without the store asks them')
def ask_peers(context):
    for cell in context.cells:
        cell.ask()


@when('another peer can confirm it instead')
def replace_confirming_peer(context):
    for cell in context.cells:
        cell.confirming = {cell.hosts[-1]}
        cell.ask()


@then('a peer confirms it in round {rounds:d} at the latest, and in each round after that')
def check_confirmed(context, rounds):
    for cell in context.cells:
        assert all(cell.confirmed[rounds - 1 :]), cell.confirmed


@then(
    'from round {first:d} on it asks {count:d} peers at once, and each peer once in {rounds:d} rounds'
)
def check_load(context, first, count, rounds):
    for cell in context.cells:
        later = cell.chosen[first - 1 : first - 1 + rounds]
        assert {len(chosen) for chosen in later} == {count}, later
        assert sorted(sum(later, [])) == sorted(cell.hosts), later
