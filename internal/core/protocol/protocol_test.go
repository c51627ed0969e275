package protocol

import (
	"bytes"
	"encoding/gob"
	"testing"

	"github.com/matryer/is"
)

// TestExpectedRevisionZeroCrossesTheWire guards a found fault: gob dropped a
// pointer to zero, so "must not be there yet" arrived as "any revision".
func TestExpectedRevisionZeroCrossesTheWire(t *testing.T) {
	is := is.New(t)
	revision := uint64(0)
	var wire bytes.Buffer
	is.NoErr(gob.NewEncoder(&wire).Encode(&SubmitRequest{Expect: ExpectationOf(&revision)}))
	var received SubmitRequest
	is.NoErr(gob.NewDecoder(&wire).Decode(&received))
	is.Equal(received.Expect, Expectation{Given: true, Revision: 0})
}
