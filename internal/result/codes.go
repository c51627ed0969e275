package result

// The result codes. The variable entries (entries.go) describes each of them.
// New codes are added at the end of their group.
const (
	OK Code = 0
	// Held means that a file is stored but not accepted yet, because resources
	// that it refers to are missing.
	Held Code = 10

	FileSyntax             Code = 100
	FileUnknownField       Code = 101
	FileWrongType          Code = 102
	FileMissingField       Code = 103
	FileBadValue           Code = 104
	FileDuplicateName      Code = 105
	FileBadReference       Code = 106
	FileTooLarge           Code = 107
	FileTooDeep            Code = 108
	FileNotYours           Code = 109
	FileUnsupported        Code = 110
	RevisionMismatch       Code = 200
	StillNeeded            Code = 201
	NameTaken              Code = 202
	NoSuchFile             Code = 203
	OperationReused        Code = 204
	OutcomeUnknown         Code = 205
	NotAccepted            Code = 206
	HeadTooLarge           Code = 207
	UnknownFormat          Code = 208
	NoReader               Code = 300
	AskAnother             Code = 301
	Overloaded             Code = 302
	BelowFloor             Code = 303
	DigestMismatch         Code = 304
	MessageTooLarge        Code = 305
	NotKeeper              Code = 306
	NotReadyYet            Code = 307
	NoRoute                Code = 400
	NotServing             Code = 401
	NoEndpoint             Code = 402
	QueueFull              Code = 403
	DeadlineBeforeStart    Code = 404
	Draining               Code = 405
	AlreadyStarted         Code = 406
	ConnectFailed          Code = 407
	BrokenInFlight         Code = 408
	DeadlineInFlight       Code = 409
	RequestTooLarge        Code = 410
	RequestMalformed       Code = 411
	UpgradeRefused         Code = 412
	ShareExceeded          Code = 413
	Shed                   Code = 414
	WrongBackend           Code = 415
	SlowPeer               Code = 416
	DrainBound             Code = 417
	RetryBudgetSpent       Code = 418
	CallerGone             Code = 419
	BackendRefused         Code = 420
	Quarantined            Code = 421
	WarmingUp              Code = 422
	ZoneEvacuated          Code = 423
	RegionNotAllowed       Code = 424
	UnknownKey             Code = 425
	QuotaExceeded          Code = 426
	BackendLimited         Code = 427
	PlatformUnavailable    Code = 500
	PlatformUnknown        Code = 501
	PlatformNotFound       Code = 502
	PlatformConflict       Code = 503
	PlatformExists         Code = 504
	PlatformTooLarge       Code = 505
	PlatformCompacted      Code = 506
	PlatformTooManyReaders Code = 507 // the platform admits no more readers
	SettingsInvalid        Code = 600
	Unauthenticated        Code = 601
	Forbidden              Code = 602
	InsecureListen         Code = 603
	UsageError             Code = 604
	Unreachable            Code = 605
	TimedOut               Code = 606
	Internal               Code = 699
)
