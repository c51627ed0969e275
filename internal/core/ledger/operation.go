package ledger

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/result"
)

// Operation records an applied change, so that a resend gets the same reply.
type Operation struct {
	ID string `json:"id"`
	// At is the reader's wall clock when it received the change, in Unix
	// milliseconds.
	At int64 `json:"at"`
	// Fingerprint distinguishes a resend from another change with the same id.
	Fingerprint string           `json:"fingerprint"`
	Code        result.Code      `json:"code"`
	Version     protocol.Version `json:"version"`
	Revision    uint64           `json:"revision"`
	WaitsFor    []string         `json:"waits_for,omitempty"`
	Promoted    []string         `json:"promoted,omitempty"`
}

// Limits of operation ids.
const (
	// MinOperationAge is the minimum time for which an id is kept.
	MinOperationAge = 15 * time.Minute
	// MinOperationCount is the number of newest ids that are kept at any age.
	MinOperationCount = 64
	// MaxOperationSkew is how far an id's time may be ahead of the reader's
	// clock.
	MaxOperationSkew = 5 * time.Minute
	// minRandomDigits is the minimum number of random hexadecimal digits in
	// an id.
	minRandomDigits = 16
	// maxOperationLength is the maximum length of an id in bytes.
	maxOperationLength = 64
	// fingerprintBytes is the number of bytes of the request's hash that are
	// kept.
	fingerprintBytes = 8
)

// NewOperationID returns an operation id: the time in Unix milliseconds, a dash
// and random in hexadecimal. random must have at least 8 bytes.
func NewOperationID(now time.Time, random []byte) string {
	return fmt.Sprintf("%d-%s", now.UnixMilli(), hex.EncodeToString(random))
}

// OperationTime returns the time in an operation id in Unix milliseconds, or
// UsageError if the id is malformed.
func OperationTime(id string) (int64, error) {
	malformed := result.New(result.UsageError, "the operation id is not <unix milliseconds>-<random hex>")
	timeText, randomText, found := strings.Cut(id, "-")
	if !found || len(id) > maxOperationLength || len(randomText) < minRandomDigits {
		return 0, malformed
	}
	if _, err := hex.DecodeString(randomText); err != nil {
		return 0, malformed
	}
	milliseconds, err := strconv.ParseInt(timeText, 10, 64)
	if err != nil || milliseconds <= 0 || strconv.FormatInt(milliseconds, 10) != timeText {
		return 0, malformed
	}
	return milliseconds, nil
}

// fingerprint returns a hash of all fields of a request that define the change.
// The operation id is not one of them.
func fingerprint(request *protocol.SubmitRequest) string {
	hash := sha256.New()
	expect := "any"
	if request.Expect.Given {
		expect = strconv.FormatUint(request.Expect.Revision, 10)
	}
	fields := []string{string(request.Partner), string(request.Action), request.File, expect, string(request.Content)}
	for _, field := range fields {
		_ = binary.Write(hash, binary.BigEndian, uint64(len(field)))
		hash.Write([]byte(field))
	}
	return hex.EncodeToString(hash.Sum(nil)[:fingerprintBytes])
}

// FindOperation returns the reply recorded in the head for a request, nil if its
// id is not listed, or OperationReused if the id was used for another change.
// After a lost reply it shows whether the update was applied.
func FindOperation(head *Head, request *protocol.SubmitRequest) *protocol.SubmitReply {
	for _, operation := range head.Operations {
		if operation.ID != request.Operation {
			continue
		}
		if operation.Fingerprint != fingerprint(request) {
			return newRefusal(result.OperationReused, "the operation id was used for another change")
		}
		return operation.reply()
	}
	return nil
}

func (o Operation) reply() *protocol.SubmitReply {
	return &protocol.SubmitReply{
		Code:     o.Code,
		Version:  o.Version,
		Revision: o.Revision,
		WaitsFor: slices.Clone(o.WaitsFor),
		Promoted: slices.Clone(o.Promoted),
	}
}

// checkOperationID refuses an id that is not in the head but can't be treated as
// new. If it is not newer than OperationFloor, it may have been dropped, and the
// outcome of its change is unknown. If it is too far ahead of the clock,
// dropping it later would raise OperationFloor above the ids of other changes.
func checkOperationID(head *Head, id string, now time.Time) *protocol.SubmitReply {
	milliseconds, err := OperationTime(id)
	if err != nil {
		return newRefusal(result.UsageError, "the operation id is not <unix milliseconds>-<random hex>")
	}
	if milliseconds <= head.OperationFloor {
		reply := newRefusal(result.OutcomeUnknown, "the operation id is too old to tell whether it was used")
		reply.Errors[0].Mend = "Look at status, then use a new operation id."
		return reply
	}
	if milliseconds > now.Add(MaxOperationSkew).UnixMilli() {
		reply := newRefusal(result.OperationReused, "the operation id's time is too far ahead of the reader's clock")
		reply.Errors[0].Mend = "Set the clock of the machine that made the id."
		return reply
	}
	return nil
}

// addOperation adds an operation and drops the oldest operations that are
// expired and not among the newest MinOperationCount. OperationFloor is raised
// to the time in a dropped id, so that a resend of it is never treated as new,
// whatever the readers' clocks show; the clock only affects how soon ids are
// dropped.
func (h *Head) addOperation(operation Operation, now time.Time) {
	h.Operations = append(h.Operations, operation)
	dropped := 0
	for dropped < len(h.Operations)-MinOperationCount && isExpired(h.Operations[dropped], now) {
		milliseconds, err := OperationTime(h.Operations[dropped].ID)
		if err == nil {
			h.OperationFloor = max(h.OperationFloor, milliseconds)
		}
		dropped++
	}
	h.Operations = slices.Delete(h.Operations, 0, dropped)
}

// isExpired reports whether an operation is older than MinOperationAge. An
// operation dated more than MaxOperationSkew ahead of now counts as expired as
// well: the clock that dated it has jumped, and the operation must not keep later
// operations from being dropped.
func isExpired(operation Operation, now time.Time) bool {
	oldest := now.Add(-MinOperationAge).UnixMilli()
	newest := now.Add(MaxOperationSkew).UnixMilli()
	return operation.At < oldest || operation.At > newest
}
