package logging

import (
	"slices"

	"github.com/apex/log"
)

// Event describes one stable event name.
type Event struct {
	// Name is the value of event= in a line.
	Name string
	// Level is the level of its lines.
	Level log.Level
	// Meaning is one sentence for an operator.
	Meaning string
	// Action says what to do, if anything.
	Action string
}

// nothing is the action of events that need none.
const nothing = "Nothing."

// events is the table of all events, in ascending order of name. docs/OPERATIONS.md
// holds the same table; a test holds them equal, and equal to the names that the
// code writes.
var events = []Event{
	{"allowed_region_unknown", log.WarnLevel,
		"A route allows a region in which no daemon is known; it is served in the other regions that it allows, or nowhere.",
		"Correct the region's name, or start daemons there."},
	{"attempt_abandoned", log.InfoLevel,
		"This daemon ended an attempt that it had sent and that was not answered yet: why, how long it had run, and whether the daemon drained.", "Reason refused: a caller was told of a failure while its call was under way; report it."},
	{"attempt_ended", log.InfoLevel,
		"An attempt of a request did not go well: its outcome, what was known of the endpoint, and what follows.", "Read it with the other lines of the request: springstack explain ID."},
	{"backend_ended", log.InfoLevel,
		"The back end beside the daemon ended while calls were at work there, and had not said that it would; a line call_at_end for each of them follows.", "Look at why it ended; a signature that several ends have in common is of a request that ends its back ends."},
	{"backend_left", log.InfoLevel,
		"The back end beside the daemon said that it gets no more work.", nothing},
	{"backend_remembered", log.InfoLevel,
		"A peer remembers that the back end was leaving before this daemon started.", nothing},
	{"backend_state", log.InfoLevel,
		"The back end beside the daemon has another state.",
		"If it is down: look at the back end and its health endpoint."},
	{"call_at_end", log.InfoLevel,
		"A call that was at work on a back end as that ended: its request, its signature, which all tries of one request share, and its caller.", nothing},
	{"call_unknown", log.WarnLevel,
		"A call was answered with ran=unknown.",
		"If there are many: find what breaks the connections to that back end."},
	{"catalogue_ready", log.DebugLevel,
		"A reader holds all contents of a version.", nothing},
	{"catalogue_refused", log.ErrorLevel,
		"A root could not build a version that the head names; the older one stays in force.",
		"Compare the builds of the daemons; see Readers."},
	{"change_settled", log.InfoLevel,
		"A reader knows what became of an operator's change.", nothing},
	{"configuration_fault", log.WarnLevel,
		"A part of a version of the external authority can't be carried out; the rest of it is in force.",
		"Correct the field named and write the configuration again."},
	{"configuration_in_force", log.InfoLevel,
		"A version of the external authority is in force on this daemon.", nothing},
	{"configuration_refused", log.ErrorLevel,
		"A version of the external authority can't be used; the one before it stays in force.", "Correct the field named and write the configuration again."},
	{"content_unreadable", log.ErrorLevel,
		"A content object is missing or does not have its digest.",
		"Look at the platform's store; submit the file again."},
	{"daemon_started", log.InfoLevel,
		"The daemon listens on its addresses.", nothing},
	{"daemon_stopped", log.InfoLevel,
		"The daemon has ended; its process exits.", nothing},
	{"delta_refused", log.WarnLevel,
		"A delta could not be applied; the daemon asks for a whole snapshot.",
		"If it goes on: compare the builds of the daemon and its parent."},
	{"drain_bound", log.WarnLevel,
		"The gate ended a call that was still running at the hard bound of a drain.",
		"Raise drain.bound if such long calls are usual."},
	{"drain_bound_reached", log.WarnLevel,
		"Calls were still running at the hard bound of a drain and were ended.",
		"Raise drain.bound if such long calls are usual."},
	{"drain_started", log.InfoLevel,
		"The daemon takes no new work and lets running calls end.", nothing},
	{"endpoint_news", log.InfoLevel,
		"Another daemon reports a new state of the back end beside it.", nothing},
	{"floor_learnt", log.InfoLevel,
		"The daemon knows the version below which it must not serve.", nothing},
	{"gate_answered", log.InfoLevel,
		"The back end answered a call with a failure, or the call is one of the sample.", nothing},
	{"gate_failed", log.InfoLevel,
		"A call that had a slot got no answer of the back end.", "If there are many on one daemon: look at its back end."},
	{"gate_refused", log.InfoLevel,
		"The gate refused a call; it did not run.", "Codes 403, 404 and 414: more work than slots."},
	{"harmful_refused", log.WarnLevel,
		"A peer has sent records of harmful requests that can't be true; they are left out.", "Look at the build and the clock of that peer."},
	{"harmful_released", log.InfoLevel,
		"A held request was removed from the store by an operator: all daemons trust it again.", nothing},
	{"harmful_request", log.InfoLevel,
		"What this daemon believes of a request has changed: suspected of ending its back ends, held, or trusted again.", "Held: find the request by its signature in the lines call_at_end of the gates, and why back ends end under it."},
	{"head_deleted", log.ErrorLevel,
		"The head object was deleted on the platform; what is in force stays.",
		"Find out who deleted it and restore it."},
	{"head_moved_back", log.ErrorLevel,
		"The platform showed an older head than before; it is not followed.",
		"Find out whether the platform's store was restored from a copy."},
	{"head_unreadable", log.ErrorLevel,
		"The head object can't be read by this build; it is not followed.",
		"Upgrade the older daemons, or find out who wrote it."},
	{"log_lines_dropped", log.WarnLevel,
		"Log lines since the last such line were not written.", "Lines of some requests are missing; the counters are whole."},
	{"member_dead", log.WarnLevel,
		"A member was silent for so long that it is no longer counted.",
		"Look at that machine."},
	{"member_suspect", log.InfoLevel,
		"A member has not been heard for a while.", nothing},
	{"node_started", log.InfoLevel,
		"The node core begins to learn its floor.", nothing},
	{"parent_joined", log.InfoLevel,
		"The daemon fetches from this parent.", nothing},
	{"parent_lost", log.WarnLevel,
		"The parent no longer answers; another one is tried.",
		"If it goes on for many daemons: look at the parent and the network."},
	{"peer_document_refused", log.WarnLevel,
		"A configuration that another daemon sent can't be unpacked.", "Compare the builds of the two daemons."},
	{"peer_given_up", log.WarnLevel,
		"A daemon has not answered two questions in a row; calls to it that may be repeated and are sure of another attempt were sent elsewhere as well.",
		"If it goes on: look at that machine and the links to it."},
	{"peer_lost", log.InfoLevel,
		"Another daemon did not answer.", "If it stays: look at that machine and the links to it."},
	{"peer_reachable", log.InfoLevel,
		"A daemon that was unreachable answers again; calls go to it as before.", nothing},
	{"peer_regained", log.InfoLevel,
		"A daemon that did not answer does so again.", nothing},
	{"peer_unreachable", log.WarnLevel,
		"A daemon whose gate owed answers does not answer at all; calls go elsewhere until it does.", "Look at that machine and the links to it."},
	{"reader_gained", log.InfoLevel,
		"The daemon has become a reader of the platform.", nothing},
	{"reader_lease_gained", log.InfoLevel,
		"The daemon took a reader lease.", nothing},
	{"reader_lease_lost", log.WarnLevel,
		"The daemon no longer holds its reader lease.",
		"If no daemon gains one: look at the platform."},
	{"reader_lost", log.WarnLevel,
		"The daemon is no longer a reader.",
		"If no daemon gains the lease: look at the platform."},
	{"registry_unavailable", log.WarnLevel,
		"The list of daemons in the store could not be read or written; it is tried again.", "If it goes on: look at the platform's store."},
	{"request_answered", log.InfoLevel,
		"A caller got the back end's answer: a failure, after several attempts, or one of the sample.", nothing},
	{"request_cut", log.InfoLevel,
		"An answer broke off on its way to the caller, whose connection was broken.", "If there are many: look at the links, and at the back end named."},
	{"request_refused", log.InfoLevel,
		"A caller got a final refusal; ran tells whether the request may have run.", "Look the code up in RESULT-CODES.md."},
	{"request_turn", log.InfoLevel,
		"A request waited for its turn behind others of its connection, for a second or as one of the sample; ahead tells whether it ran meanwhile.", nothing},
	{"request_turned_away", log.InfoLevel,
		"A request was refused before any attempt: it did not run.", "Code 400: no such route in the version in force; 401: no configuration yet."},
	{"requests_summary", log.InfoLevel,
		"What came since the last summary.", nothing},
	{"rollout_decided", log.InfoLevel,
		"This daemon has decided on an order to move a service to another version: the stage, the figures that decided, and what the store answered.",
		"See OPERATIONS.md, a roll-out was rolled back."},
	{"rollout_refused", log.WarnLevel,
		"An order to move a service to another version can't be carried out; nothing is written of it.",
		"Correct the field named and write the order again."},
	{"rollout_stage", log.InfoLevel,
		"This daemon has heard of the stage of an order, and divides calls by it from now on.", nothing},
	{"rollout_unread", log.WarnLevel,
		"The orders could not be read again after a status that was not taken; they are watched and the status is written again.",
		"If it goes on: look at the platform's store."},
	{"root_started", log.InfoLevel,
		"The daemon is the root of its region.", nothing},
	{"root_stopped", log.InfoLevel,
		"Another daemon is the root of the region.", nothing},
	{"settings_changed", log.InfoLevel,
		"The settings were read again and differ; they are in force after the next start.", "Restart the daemon when it suits."},
	{"settings_refused", log.ErrorLevel,
		"The settings were read again and hold mistakes; those in force stay.", "Correct the settings; springstackd check lists every mistake."},
	{"settings_unchanged", log.InfoLevel,
		"The settings were read again and are the same.", nothing},
	{"snapshot_in_force", log.InfoLevel,
		"The daemon's proxy has swapped to a version.", nothing},
	{"snapshot_refused", log.ErrorLevel,
		"A snapshot failed its checks; the older one stays in force.",
		"Compare the builds of the daemons."},
	{"store_lost", log.WarnLevel,
		"The store of the external authority does not answer; what is in force serves on.", "Look at the platform's store, and at the links to it."},
	{"store_regained", log.InfoLevel,
		"The store of the external authority answers again.", nothing},
	{"store_summary", log.InfoLevel,
		"The calls to the store since the start, by purpose, and how many of them failed.",
		"Many failed: look at the platform's store."},
	{"version_in_force", log.InfoLevel,
		"A version is in force on every member that counts.", nothing},
	{"version_released", log.InfoLevel,
		"A version is stored at enough keepers; proxies may swap to it.", nothing},
	{"watch_ended", log.WarnLevel,
		"The watch of the head broke; the reader lists and watches again.",
		"If it goes on: look at the platform by the code."},
}

// Events returns the table of all events in ascending order of name.
func Events() []Event { return slices.Clone(events) }

// LevelOf returns the level of an event; names that are not listed are
// informational.
func LevelOf(name string) log.Level {
	for _, event := range events {
		if event.Name == name {
			return event.Level
		}
	}
	return log.InfoLevel
}
