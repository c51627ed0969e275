package protocol

import (
	"bytes"
	"encoding/gob"
	"testing"

	"github.com/matryer/is"
)

// TestExpectedRevisionZeroSurvivesGob guards against a fault: gob omitted a pointer to
// zero, so the expectation that a file does not exist yet arrived as any revision.
func TestExpectedRevisionZeroSurvivesGob(t *testing.T) {
	is := is.New(t)
	revision := uint64(0)
	var wire bytes.Buffer
	is.NoErr(gob.NewEncoder(&wire).Encode(&SubmitRequest{Expect: ExpectationOf(&revision)}))
	var received SubmitRequest
	is.NoErr(gob.NewDecoder(&wire).Decode(&received))
	is.Equal(received.Expect, Expectation{Given: true, Revision: 0})
}
