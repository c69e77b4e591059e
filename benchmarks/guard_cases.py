"""The guards of the product, what each keeps, and the test that fails without it."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class GuardCase:
    """A guard and the test that shows its worth.

    Attributes:
        promise: What it keeps.
        guard: Its names in ``tests.unguarded``, joined by ``+`` where two keep the same promise.
        what: What it does.
        test: Name of the test under ``tests``.
    """

    promise: str
    guard: str
    what: str
    test: str


REFUSALS = "test_promises_refusals.RefusalTest."
ANSWERS = "test_promises_answers.AnswerTest."
RUN_ONCE = "test_promises_run_once.RunOnceTest."
CRASH = "test_promises_run_once.CrashTest.test_crash_of_the_agent_ends_its_tickets_and_keys"
DEADLINES = "test_promises_deadlines."
LEAVING = "test_promises_leaving.LeavingTest."
SILENCE = "test_promises_silence.SilenceTest."
PAUSES = "test_promises_pauses.PauseTest."
CONFIGURATION = "test_promises_config.ConfigurationTest."
KEYS = "test_promises_keys.SystemKeyTest."
GROUPS = "test_promises_groups.GroupTest."
DECIDERS = "test_promises_deciders.CutOffTest."

CASES = (
    GuardCase(
        "not run is true",
        "worst-outcome",
        "an attempt that may have run outweighs a later one that did not",
        REFUSALS + "test_lost_answer_outweighs_a_later_refusal",
    ),
    GuardCase(
        "nothing begun past a deadline",
        "deadline-read",
        "a spent deadline is refused",
        REFUSALS + "test_what_cannot_be_served_is_refused_by_number_and_runs_nowhere",
    ),
    GuardCase(
        "whole answers",
        "http-version",
        "HTTP/1.0 is refused",
        REFUSALS + "test_http_1_0_is_refused",
    ),
    GuardCase(
        "own answers",
        "ids+offsets",
        "each event carries its request's id and offset",
        ANSWERS + "test_crossed_streams_reach_nobody_wrong",
    ),
    GuardCase(
        "whole answers",
        "offsets",
        "each event is the next one",
        ANSWERS + "test_doubled_pieces_reach_the_caller_once",
    ),
    GuardCase(
        "whole answers",
        "resumption",
        "a cut stream goes on at its offset",
        ANSWERS + "test_cut_stream_is_resumed_at_its_offset",
    ),
    GuardCase(
        "whole answers",
        "broken-off-answer",
        "an answer that cannot be whole ends in an error",
        ANSWERS + "test_cut_stream_that_cannot_be_resumed_is_an_error_to_any_library",
    ),
    GuardCase(
        "whole answers",
        "explicit-end",
        "a stream without its end mark is not whole",
        ANSWERS + "test_stream_that_ends_early_is_no_whole_answer",
    ),
    GuardCase(
        "cancel",
        "caller-watch",
        "a caller that leaves ends its run",
        ANSWERS + "test_caller_that_leaves_frees_the_slot",
    ),
    GuardCase(
        "at most once",
        "ledger",
        "an agent remembers what it ran",
        RUN_ONCE + "test_key_sent_again_through_another_entry_gives_the_first_answer",
    ),
    GuardCase(
        "at most once",
        "incarnation",
        "only the incarnation that a ticket names runs it",
        CRASH,
    ),
    GuardCase(
        "at most once",
        "quarantine",
        "an agent that lost its memory distrusts unknown keys",
        CRASH,
    ),
    GuardCase(
        "at most once",
        "ledger-handed-on",
        "what was run moves with the home of a key",
        RUN_ONCE + "test_key_moves_with_its_answer_to_a_desk_that_joins",
    ),
    GuardCase(
        "at most once",
        "promises",
        "a new home waits for the old one's promise",
        RUN_ONCE + "test_key_that_moves_while_its_agent_is_frozen_runs_once",
    ),
    GuardCase(
        "at most once",
        "home",
        "a key's home follows from the configuration, not from who can be reached",
        RUN_ONCE + "test_bookings_retried_on_both_sides_of_a_partition_run_once",
    ),
    GuardCase(
        "deadlines",
        "time-left",
        "each hop tells the time that is left",
        DEADLINES + "DeadlineTest.test_time_left_shrinks_on_its_way_to_the_endpoint",
    ),
    GuardCase(
        "nothing begun past a deadline",
        "agents-deadline",
        "a deadline is told in terms of the agent's clock",
        DEADLINES + "DeadlineTest.test_booking_that_arrives_past_its_deadline_is_not_begun",
    ),
    GuardCase(
        "retries",
        "retries",
        "what failed at one endpoint is tried at another",
        DEADLINES + "RetryTest.test_errors_of_an_engine_are_tried_at_another",
    ),
    GuardCase(
        "retries",
        "retry-budget",
        "retries are a share of the requests",
        DEADLINES + "OutageTest.test_retries_in_an_outage_stay_within_the_budget",
    ),
    GuardCase(
        "no work when leaving",
        "permit",
        "an entry that hears nobody loses its leave to dispatch",
        LEAVING + "test_entry_that_hears_nobody_sends_no_work_to_an_engine_that_leaves",
    ),
    GuardCase(
        "no work when leaving",
        "leaving-by-configuration",
        "the configuration is a source",
        LEAVING + "test_engine_leaves_by_configuration",
    ),
    GuardCase(
        "no work when leaving",
        "leaving-by-vm-list",
        "the list of VMs is a source",
        LEAVING + "test_engine_leaves_by_the_list_of_vms",
    ),
    GuardCase(
        "no work when leaving",
        "vm-list-at-entries+vm-list-from-peers",
        "the list counts also where the agent cannot read it",
        LEAVING + "test_engine_leaves_by_a_list_that_its_agent_cannot_read",
    ),
    GuardCase(
        "no work when leaving",
        "stopping-agent-leaves",
        "an agent that stops says so",
        LEAVING + "test_stopped_agent_lets_streams_end_and_leaves_in_order",
    ),
    GuardCase(
        "graceful stop",
        "kept-answers",
        "a stopping entry serves until kept answers have run out",
        LEAVING + "test_stopped_entry_serves_until_nobody_comes",
    ),
    GuardCase(
        "graceful stop",
        "drain",
        "a stopping entry waits for requests in flight",
        LEAVING + "test_stopped_entry_serves_until_nobody_comes",
    ),
    GuardCase(
        "silent connections",
        "link-timeout",
        "a link that brings no reply is replaced",
        SILENCE + "test_link_to_an_agent_is_replaced_and_the_engine_stays_in_use",
    ),
    GuardCase(
        "silent connections",
        "watch-timeout",
        "a watch that is not answered in time is replaced",
        SILENCE + "test_watch_that_went_silent_is_replaced",
    ),
    GuardCase(
        "silent connections",
        "call-keepalive",
        "a connection with calls in flight is pinged",
        SILENCE + "test_run_once_call_goes_on_over_a_new_connection",
    ),
    GuardCase(
        "silent connections",
        "stream-stall",
        "a stream that brings nothing is resumed",
        SILENCE + "test_stream_goes_on_over_a_new_connection",
    ),
    GuardCase(
        "silent connections",
        "half-of-the-time",
        "half of the time is kept for another endpoint",
        SILENCE + "test_connections_kept_for_later_may_have_gone_silent",
    ),
    GuardCase(
        "pauses",
        "pauses",
        "an agent checks what it knows before it begins a run",
        PAUSES + "test_woken_agent_begins_nothing_by_its_old_view",
    ),
    GuardCase(
        "pauses",
        "pauses+permit",
        "an entry checks what it knows, and its permits have run out",
        PAUSES + "test_woken_entry_sends_nothing_by_its_old_view",
    ),
    GuardCase(
        "configuration never reverts",
        "high-water-mark",
        "nothing older than what is in force is taken",
        CONFIGURATION + "test_old_version_of_the_service_is_not_taken",
    ),
    GuardCase(
        "configuration never reverts",
        "peers-before-ready",
        "a starting process asks its peers",
        CONFIGURATION + "test_process_that_restarts_while_the_service_is_stale_takes_the_newest",
    ),
    GuardCase(
        "configuration in force everywhere",
        "peers-before-ready",
        "peers hand the content on",
        CONFIGURATION + "test_process_starts_while_the_service_is_down",
    ),
    GuardCase(
        "configuration never reverts",
        "check-of-a-version",
        "one bad file refuses the whole version",
        CONFIGURATION + "test_bad_version_is_refused_everywhere",
    ),
    GuardCase(
        "orders",
        "authentication",
        "calls prove that they come from a holder of the system key",
        KEYS + "test_stranger_is_refused_and_nothing_runs",
    ),
    GuardCase(
        "one map in each step",
        "votes-of-all-ranks",
        "a map is committed once all ranks have agreed",
        GROUPS + "test_agent_killed_between_agreement_and_verdict",
    ),
    GuardCase(
        "one map in each step",
        "lease-of-a-decider",
        "an agent orders only while most witnesses confirm it",
        DECIDERS + "test_agent_that_is_cut_off_from_its_successors_configuration_stops",
    ),
    GuardCase(
        "one map in each step",
        "lease-of-a-decider+orders-after-a-pause",
        "an agent that was paused gives no order unchecked",
        GROUPS + "test_paused_agent_of_a_replaced_vm_gives_no_order_when_it_wakes",
    ),
    GuardCase(
        "refusals come at once",
        "leader-of-a-group",
        "no endpoint of a group that cannot step is chosen",
        GROUPS + "test_lost_engine_takes_the_group_out_of_routing_until_it_is_back",
    ),
    GuardCase(
        "refusals come at once",
        "standing-of-the-group",
        "agents beside further ranks ask whether their group can step",
        GROUPS + "test_entries_without_a_link_to_the_leader_send_nothing_either",
    ),
)
