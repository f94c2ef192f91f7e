"""Replays of the ticket specification against the ticket table."""

from enum import Enum, auto, unique

from attrs import Factory, define

from catkinslip.clock import Clock
from catkinslip.tickets.keys import AnchoredClock, TicketKey
from catkinslip.tickets.table import Admitted, Refusal, TicketTable
from model.replay.base import Replay

HOME = 'entry-1'
INCARNATION = 7
LIFETIME_SECONDS = 60
FINGERPRINT = b'same'
REFUSED_AS_NOT_RUN = (Refusal.FULL, Refusal.TOO_FAR_AHEAD)


@define
class SteppedClock(Clock):
    """A clock that a replay sets, with a wall clock that may go back."""

    seconds: float = 1000.0
    wall_offset: float = 0.0

    def monotonic(self) -> float:
        """Return monotonic time in seconds."""
        return self.seconds

    def wall(self) -> float:
        """Return seconds since the Unix epoch."""
        return self.seconds + self.wall_offset


@unique
class Place(Enum):
    """The place of a sending on its way from the caller to a backend server."""

    CALLER = auto()
    TO_HOME = auto()
    ADMITTED = auto()
    SENT = auto()
    ENDED = auto()


@define
class SendingReplay:
    """One sending; `runs_when_refused` is the run count when "not run" was sent."""

    place: Place = Place.CALLER
    is_in_flight: bool = False
    has_run: bool = False
    runs_when_refused: int | None = None


@define
class TicketReplay(Replay):
    """The table of the home, the sendings of one request, and its number of runs.

    Other instances forward requests to the home or answer "unknown", which the tests of
    the gate cover.
    """

    clock: SteppedClock = Factory(SteppedClock)
    incarnation: int = INCARNATION
    sending_by_index: dict[int, SendingReplay] = Factory(dict)
    runs: int = 0
    home_clock: AnchoredClock = Factory(
        lambda self: AnchoredClock(self.clock), takes_self=True
    )
    table: TicketTable = Factory(lambda self: self._new_table(), takes_self=True)
    key: TicketKey = Factory(lambda self: self._new_key(), takes_self=True)

    async def step(self, name: str, *numbers: int) -> None:
        """Perform one action; the numbers select the parts that act."""
        match name:
            case 'expire':
                self.clock.seconds += LIFETIME_SECONDS + 1
            case 'clock_back':
                self.clock.wall_offset -= 2 * LIFETIME_SECONDS
            case 'forget':
                self._admit_another()
            case 'crash':
                self._crash()
            case _:
                (index,) = numbers
                sending = self.sending_by_index.setdefault(index, SendingReplay())
                self._step_sending(name, sending)

    def _step_sending(self, name: str, sending: SendingReplay) -> None:
        match name, sending.place:
            case ('send_home' | 'send_other', Place.CALLER):
                sending.place = Place.TO_HOME
            case ('admit' | 'full' | 'refuse', Place.TO_HOME):
                self._admit(sending)
            case ('refuse_late', Place.TO_HOME):
                self._refuse_unless_known(sending)
            case ('first_byte', Place.ADMITTED):
                sending.place = Place.SENT
                sending.is_in_flight = True
            case ('too_late', Place.ADMITTED):
                self._refuse(sending)
            case ('backend_runs', _) if sending.is_in_flight:
                self.runs += 1
                sending.is_in_flight = False
                sending.has_run = True
            case ('lose_answer', Place.SENT):
                self.table.mark_unknown(self.key)
                sending.place = Place.ENDED
            case ('receive_answer', Place.SENT) if sending.has_run:
                self.table.mark_answered(self.key, 200, None)
                sending.place = Place.ENDED

    def _admit(self, sending: SendingReplay) -> None:
        decision = self.table.admit(self.key, FINGERPRINT, self.home_clock.now())
        if decision == Admitted():
            sending.place = Place.ADMITTED
        elif decision in REFUSED_AS_NOT_RUN:
            sending.runs_when_refused = self.runs
            sending.place = Place.ENDED
        else:
            sending.place = Place.ENDED

    def _refuse(self, sending: SendingReplay) -> None:
        self.table.release(self.key)
        sending.runs_when_refused = self.runs
        sending.place = Place.ENDED

    def _refuse_unless_known(self, sending: SendingReplay) -> None:
        decision = self.table.look_up(self.key, FINGERPRINT, self.home_clock.now())
        if decision == Admitted():
            sending.runs_when_refused = self.runs
        sending.place = Place.ENDED

    def _admit_another(self) -> None:
        text = self.key.text + '2'
        other = TicketKey(text, HOME, self.incarnation, self.key.expiry)
        self.table.admit(other, FINGERPRINT, self.home_clock.now())

    def _crash(self) -> None:
        self.incarnation += 1
        self.home_clock = AnchoredClock(self.clock)
        self.table = self._new_table()
        for sending in self.sending_by_index.values():
            if sending.place in (Place.ADMITTED, Place.SENT):
                sending.place = Place.ENDED

    def _new_table(self) -> TicketTable:
        now = self.home_clock.now()
        return TicketTable(HOME, self.incarnation, LIFETIME_SECONDS, 100, now)

    def _new_key(self) -> TicketKey:
        expiry = int(self.home_clock.now()) + LIFETIME_SECONDS
        return TicketKey(
            f'ck1.{HOME}.{INCARNATION}.{expiry}.a', HOME, INCARNATION, expiry
        )
