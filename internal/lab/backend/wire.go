package backend

import (
	"fmt"
	"io"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Headers that the lab's callers and back ends understand.
const (
	// HeaderRequest carries the RequestID of the caller's operation.
	HeaderRequest = "Lab-Request"
	// HeaderAnswerBytes asks for an answer body of that many filler bytes.
	HeaderAnswerBytes = "Lab-Answer-Bytes"
	// HeaderDepth asks the back end to make a further call, that many deep,
	// before it answers.
	HeaderDepth = "Lab-Depth"
	// HeaderChain lists the hosts of the further calls, separated by commas;
	// without it they go to the host of the call itself.
	HeaderChain = "Lab-Chain"
	// HeaderFail asks the back end at depth 0 to answer with this status, or with
	// FailBreak to break its connection; those above it then break theirs.
	HeaderFail = "Lab-Fail"
	// HeaderBackend names the back end that answered.
	HeaderBackend = "Lab-Backend"
	// HeaderRan with the value RanNo is set on a back end's own 503 that
	// certainly did not run.
	HeaderRan = "Springstack-Ran"
	RanNo     = "no"
	// HeaderDraining is set on the health answer of a back end that is leaving.
	HeaderDraining = "Springstack-Draining"
	// HeaderNoRetry is copied by an application onto the calls it makes further
	// down, as tracing headers are.
	HeaderNoRetry = "Springstack-No-Retry"
)

// FailBreak is the value of HeaderFail that breaks connections.
const FailBreak = -1

// Paths of the reports of a back end.
const (
	PathHealth = "/-/health"
	PathLoad   = "/-/load"
)

// AnswerHead is the first line of each answer. It echoes what the back end
// understood, so that a caller can tell its own answer from another's.
func AnswerHead(request RequestID, bodyDigest uint64, answerBytes int) string {
	return fmt.Sprintf("request=%s body=%016x filler=%d\n", request, bodyDigest, answerBytes)
}

// fillerBlock is how many filler bytes are made at a time.
const fillerBlock = 32 << 10

// WriteFiller writes count bytes that depend on the seed text. The same text
// and count give the same bytes.
func WriteFiller(writer io.Writer, seed string, count int) error {
	block := FillerBlock(seed, count)
	for count > 0 {
		size := min(count, len(block))
		if _, err := writer.Write(block[:size]); err != nil {
			return err
		}
		count -= size
	}
	return nil
}

// FillerBlock is the block that WriteFiller repeats to write count bytes.
func FillerBlock(seed string, count int) []byte {
	block := make([]byte, min(count, fillerBlock))
	word := strconv.FormatUint(xxhash.Sum64String(seed), 16)
	for filled := 0; filled < len(block); {
		filled += copy(block[filled:], word)
	}
	return block
}
