package metrics

// The metrics of a daemon.
var (
	Ready = define(Gauge, "ready",
		"1 while callers may be sent to this daemon, else 0.",
		"0 for longer than a start takes: /readyz names the reasons.")
	Version = define(Gauge, "version",
		"Configuration version in force on this daemon.",
		"One daemon far below the others: `springstack status` names the laggards.")
	Resources = define(Gauge, "resources",
		"Resources in the snapshot in force.", "")
	Members = define(Gauge, "members",
		"Member records known.",
		"A sudden fall: machines or a network link were lost.")
	CertificateExpiry = define(Gauge, "certificate_expiry_timestamp_seconds",
		"When the certificate in use expires, in seconds since 1970; only with TLS.",
		"Less than a week ahead: renew it; no restart is needed.")
	CertificateFilesUsable = define(Gauge, "certificate_files_usable",
		"1 while the newest state of the certificate files is in use, else 0; only with TLS.",
		"0 for longer than a replacement takes: run `springstackd check` on that machine.")
	NodeSteps = define(Counter, "node_steps_total",
		"Steps of the node core.", "")
	NodeStepSeconds = define(Counter, "node_step_seconds_total",
		"Time spent in steps of the node core, in seconds.",
		"A rate near 1: the node core is the bottleneck of this daemon.")
	PlatformCalls = define(Counter, "platform_calls_total",
		"Calls and watches sent to the platform.",
		"Rising on more than the readers: daemons fall back to the platform.")
	PeerCallFailures = define(Counter, "peer_call_failures_total",
		"Control calls that got no answer.",
		"Rising on many daemons at once: look at the network or at their common parent.")
	ControlBytes = define(Counter, "control_bytes_total",
		"Control bytes on the wire, by kind of message and direction.",
		"The rate is the control traffic.",
		"kind", "direction")
	ControlFrames = define(Counter, "control_frames_total",
		"Control messages on the wire, by kind of message and direction.", "",
		"kind", "direction")
	CallerCalls = define(Counter, "caller_calls_total",
		"Calls taken from callers.", "")
	GateCalls = define(Counter, "gate_calls_total",
		"Calls taken at the gate.", "")
	Attempts = define(Counter, "attempts_total",
		"Sendings of calls to gates.", "")
	Retries = define(Counter, "retries_total",
		"Sendings after a call's first.",
		"A share of attempts_total above a tenth: an endpoint or a zone is failing.")
	StartWaits = define(Counter, "start_waits_total",
		"Waits of calls that came before the daemon knew where to send them.", "")
	CallsAhead = define(Counter, "calls_ahead_total",
		"Callers' requests that ran before their turn on a connection.", "")
	AheadDepth = define(Gauge, "calls_ahead_deepest",
		"The most requests of one connection that have run before their turn at a time.",
		"At its bound: callers send more at once than run side by side.")
	AheadBytes = define(Gauge, "calls_ahead_held_bytes",
		"Answers held until their turn, in bytes.",
		"Near its bound: callers read slowly, or wait behind slow requests.")
	BodiesWaiting = define(Gauge, "gate_bodies_waiting",
		"Large request bodies that wait to be sent to this gate.",
		"Above 0 for long: the machine's link is full.")
	GateRunning = define(Gauge, "gate_running",
		"Calls that hold a slot of the back end.",
		"At the number of slots for long: the back end is full.")
	GateQueued = define(Gauge, "gate_queued",
		"Calls that wait for a slot of the back end.",
		"Above 0 for long: the back end is overloaded.")
	BackendCold = define(Gauge, "backend_cold",
		"1 while the gate bounds the starts of calls, since its back end is cold, else 0.",
		"On most daemons of a service: it has little to give; see refusals_total with name warming_up.")
	BackendCallLimit = define(Gauge, "backend_call_limit",
		"Calls per second that the back end states to accept from all daemons together; 0 if it states none.",
		"Above 0 for long: the back end is in need; see refusals_total with name backend_limited.")
	BackendNoticeFaults = define(Counter, "backend_notice_faults_total",
		"Answers of the back end with an invalid statement of its limit or of its leaving.",
		"Rising: see the line backend_notice_refused, and correct the back end.")
	Refusals = define(Counter, "refusals_total",
		"Calls refused, by result code.",
		"Look the code up in RESULT-CODES.md.",
		"code", "name")
	AttemptsAbandoned = define(Counter, "attempts_abandoned_total",
		"Attempts that were sent and that this daemon ended before their answer, by reason.",
		"refused above 0: a caller was told of a failure while its call was under way. deadline rising: back ends or machines are too slow.",
		"reason")
	BackendConnections = define(Gauge, "backend_connections",
		"Connections to the back end, also such as are being opened or closed.",
		"At what the service states for max_connections: calls are refused as queue_full.")
	HungCalls = define(Counter, "hung_calls_total",
		"Calls that the back end was found never to answer.",
		"Rising: see OPERATIONS.md, back ends that hang.")
	BackendEnds = define(Counter, "backend_ends_total",
		"Ends of the back end under calls that it had not announced.",
		"Rising on several daemons: see OPERATIONS.md, a request is quarantined.")
	IsolatedCalls = define(Counter, "isolated_calls_total",
		"Calls that ran alone on the back end since their request is suspected of ending back ends.",
		"Rising without ends of back ends: requests are suspected for ends of another cause.")
	HarmfulRequests = define(Gauge, "harmful_requests",
		"Requests that are suspected of ending the back ends that run them, or held for it, as this daemon knows.",
		"held above 0: see OPERATIONS.md, a request is quarantined.",
		"belief")
	VersionAge = define(Gauge, "version_age_seconds",
		"Time since the configuration in force came, in seconds.",
		"Much older than on the other daemons: this one does not hear of changes.")
	StoreCalls = define(Counter, "store_calls_total",
		"Calls to the store of the external authority, by purpose and result code.",
		"A rising code other than 0: look it up in RESULT-CODES.md.",
		"purpose", "code", "name")
	RolloutStage = define(Gauge, "rollout_stage",
		"Stage of the newest order of a service: 1 canary, 2 shift, 3 halted, 4 rolled back, 5 completed.",
		"3 or 4: see OPERATIONS.md, a roll-out was rolled back.",
		"service", "target")
	HeardAge = define(Gauge, "heard_age_seconds",
		"How long ago a source of configurations was last heard: store (by the watch), poll (by a read beside it), peer; in seconds.",
		"Store above 11 s, or peer above some seconds: nothing new comes that way.",
		"source")
	StoreEra = define(Gauge, "store_era",
		"How often the platform's store has come back from an older copy, as it tells; 0 where it does not tell.",
		"Risen: see OPERATIONS.md, after the store was restored.")
	StoreEraFaults = define(Counter, "store_era_faults_total",
		"Answers of the platform's store that did not tell its era.",
		"Rising beside a store_era above 0: something else answers in the store's place.")
	EvacuatedZoneDaemons = define(Gauge, "evacuated_zone_daemons",
		"Daemons in a zone that is to be empty, with the code of what is wrong with the order; 0 for nothing.",
		"0 daemons or another code: correct the order; see OPERATIONS.md, emptying a zone.",
		"zone", "code", "name")
	EvacuationsAge = define(Gauge, "evacuations_age_seconds",
		"How long ago the newest reading of the orders to empty zones began that this daemon knows of, in seconds.",
		"Above half of the bound: neither the store nor a daemon that it answers reaches this one.")
	TenantCalls = define(Counter, "tenant_calls_total",
		"Calls of a tenant with a quota at this daemon that passed or were refused (outcome); of the busiest tenants, and an empty tenant for all others.",
		"Refused rising: the tenant sends more than its quota; see TENANTS.md.",
		"tenant", "outcome")
	QuotaCountersLost = define(Gauge, "quota_counters_lost",
		"Daemons that keep counters of quotas and did not answer when they were last asked.",
		"Above 0 for more than some seconds: this daemon serves a small share of some quotas only.")
	PeerMessages = define(Counter, "peer_messages_total",
		"Requests between daemons that follow an external authority, by kind and direction.",
		"One kind far above its calm rate: see OPERATIONS.md, daemons that are busy with each other.",
		"kind", "direction")
	PeersLost = define(Gauge, "peers_lost",
		"Daemons that did not answer when they were last asked.",
		"Many at once: a link or a zone is lost.")
	LogLinesDropped = define(Counter, "log_lines_dropped_total",
		"Log lines not written: over the rate, or the output did not take them.",
		"Rising: a request's lines may be missing; see the line log_lines_dropped.")
)
