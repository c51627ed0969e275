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

// Operation remembers one change that was taken in, so that a resend gets the
// first answer again.
type Operation struct {
	ID string `json:"id"`
	// At is when the change was taken in, by the reader's clock, in Unix
	// milliseconds.
	At int64 `json:"at"`
	// Fingerprint tells a resend from another change under the same id.
	Fingerprint string           `json:"fingerprint"`
	Code        result.Code      `json:"code"`
	Version     protocol.Version `json:"version"`
	Revision    uint64           `json:"revision"`
	WaitsFor    []string         `json:"waits_for,omitempty"`
	Promoted    []string         `json:"promoted,omitempty"`
}

// Limits of operation ids.
const (
	// OperationAge is how long an id is kept at least.
	MinOperationAge = 15 * time.Minute
	// OperationCount is how many ids are kept at least.
	MinOperationCount = 64
	// OperationAhead is how far an id's time may be ahead of the reader's clock.
	MaxOperationSkew = 5 * time.Minute
	// randomDigits is the least count of random digits in an id.
	randomDigits = 16
	// maxOperationLength bounds an id in bytes.
	maxOperationLength = 64
	// fingerprintBytes is how much of the request's digest is kept.
	fingerprintBytes = 8
)

// NewOperation returns an operation id: the time in Unix milliseconds, a dash
// and random in hexadecimal. random must hold at least 8 random bytes.
func NewOperationID(now time.Time, random []byte) string {
	return fmt.Sprintf("%d-%s", now.UnixMilli(), hex.EncodeToString(random))
}

// OperationTime returns the time inside an operation id in Unix milliseconds,
// or an error if the id is malformed (UsageError).
func OperationTime(id string) (int64, error) {
	malformed := result.New(result.UsageError, "the operation id is not <unix milliseconds>-<random hex>")
	digits, random, found := strings.Cut(id, "-")
	if !found || len(id) > maxOperationLength || len(random) < randomDigits {
		return 0, malformed
	}
	if _, err := hex.DecodeString(random); err != nil {
		return 0, malformed
	}
	milliseconds, err := strconv.ParseInt(digits, 10, 64)
	if err != nil || milliseconds <= 0 || strconv.FormatInt(milliseconds, 10) != digits {
		return 0, malformed
	}
	return milliseconds, nil
}

// fingerprint identifies all that a request asks for, besides its id.
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

// FindOperation returns the answer that the head remembers for a request: nil
// when the id is unknown. An id used for another change is OperationReused.
// After a lost answer it tells whether the update took effect.
func FindOperation(head *Head, request *protocol.SubmitRequest) *protocol.SubmitReply {
	for _, operation := range head.Operations {
		if operation.ID != request.Operation {
			continue
		}
		if operation.Fingerprint != fingerprint(request) {
			return refuse(result.OperationReused, "the operation id was used for another change")
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

// checkOperation answers for ids that are not in the head but can't be taken as
// new. One that is not newer than a dropped id may have been that one, so its
// outcome is unknown; one too far ahead would raise the floor over others.
func checkOperation(head *Head, id string, now time.Time) *protocol.SubmitReply {
	milliseconds, err := OperationTime(id)
	if err != nil {
		return refuse(result.UsageError, "the operation id is not <unix milliseconds>-<random hex>")
	}
	if milliseconds <= head.OperationFloor {
		reply := refuse(result.OutcomeUnknown, "the operation id is too old to tell whether it was used")
		reply.Errors[0].Mend = "Look at status, then use a new operation id."
		return reply
	}
	if milliseconds > now.Add(MaxOperationSkew).UnixMilli() {
		reply := refuse(result.OperationReused, "the operation id's time is too far ahead of the reader's clock")
		reply.Errors[0].Mend = "Set the clock of the machine that made the id."
		return reply
	}
	return nil
}

// remember adds an operation and drops the oldest ones that are beyond both
// the count and the age. Dropping raises OperationFloor to the time in the
// dropped id, so that this id, sent again, is never taken as new whatever any
// clock says; the clock only decides how soon ids are dropped.
func (h *Head) remember(operation Operation, now time.Time) {
	h.Operations = append(h.Operations, operation)
	dropped := 0
	for dropped < len(h.Operations)-MinOperationCount && expired(h.Operations[dropped], now) {
		milliseconds, err := OperationTime(h.Operations[dropped].ID)
		if err == nil {
			h.OperationFloor = max(h.OperationFloor, milliseconds)
		}
		dropped++
	}
	h.Operations = slices.Delete(h.Operations, 0, dropped)
}

// expired reports whether an operation is beyond the age. One from the future
// was stamped by a clock that has jumped; it must not stop all dropping.
func expired(operation Operation, now time.Time) bool {
	oldest := now.Add(-MinOperationAge).UnixMilli()
	newest := now.Add(MaxOperationSkew).UnixMilli()
	return operation.At < oldest || operation.At > newest
}
