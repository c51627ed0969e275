package proxy

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"slices"
)

// headLimit bounds the head of an answer that is looked at, in bytes; a longer one is left to
// the library, which refuses it by its own limit.
const answerHeadLimit = 16 << 10

// readSize is how much of a head is read at a time, in bytes: the library's own buffer.
const headReadSize = 4 << 10

// earlierLimit is how many requests of a connection are remembered: an answer in excess
// belongs to the last one, or one of the last few where it comes late.
const rememberedRequests = 4

// headEnding ends the head of an answer.
var headTerminator = []byte("\r\n\r\n")

// surplusFilter reads past answers that a back end sends in excess on a kept connection.
// One that comes late stands in the place of the answer that is due, whose run is at work:
// to close the connection would cut that run and fail its caller. Answers are told
// apart by the id that back ends echo. The library reads a connection in one goroutine, so
// the filter takes no lock.
type surplusFilter struct {
	source io.Reader
	// attempt is the one whose answer is looked for or was found.
	attempt *attemptGuard
	// found is set once its answer has begun: all bytes are passed on then.
	ownAnswerFound bool
	// ready was read and is passed on next.
	buffered []byte
	// earlier are the ids of the last requests sent before the attempt's, in turn, of sent
	// in all.
	earlierIDs [rememberedRequests]string
	sentCount  int
}

// begin notes that a request is sent. It is called before any byte of it goes out, when no
// other one is under way.
func (f *surplusFilter) recordRequest(id string) {
	f.earlierIDs[f.sentCount%rememberedRequests] = id
	f.sentCount++
}

// read reads for the library. The owner is asked for once bytes have come, since the library
// reads a connection before the next attempt is sent on it.
func (f *surplusFilter) read(into []byte, owner func() *attemptGuard) (int, error) {
	if len(f.buffered) == 0 {
		count, err := f.source.Read(into)
		attempt := owner()
		if attempt != f.attempt {
			f.attempt, f.ownAnswerFound = attempt, false
		}
		if err != nil || f.ownAnswerFound || attempt == nil || attempt.answerID == "" {
			return count, err
		}
		if f.beginsWithOwnAnswer(into[:count]) {
			f.ownAnswerFound = true // the usual case, in which nothing is copied or parsed twice
			return count, nil
		}
		f.buffered = append(f.buffered, into[:count]...)
		if err := f.skipSurplus(); err != nil {
			return 0, err
		}
	}
	count := copy(into, f.buffered)
	f.buffered = f.buffered[count:]
	return count, nil
}

// skipForeign reads until the attempt's own answer has begun, or an interim one, or something
// that it can't read, which is left to the library.
func (f *surplusFilter) skipSurplus() error {
	for {
		if err := f.fillHead(); err != nil {
			return err
		}
		if f.beginsWithOwnAnswer(f.buffered) || len(f.buffered) >= answerHeadLimit {
			f.ownAnswerFound = true
			return nil
		}
		held := bytes.NewReader(f.buffered)
		reader := bufio.NewReader(io.MultiReader(held, f.source))
		answer, err := http.ReadResponse(reader, nil)
		if err != nil || !f.isSkippable(answer) {
			f.ownAnswerFound = true
			return nil
		}
		if _, err := io.Copy(io.Discard, answer.Body); err != nil {
			return err
		}
		rest, err := reader.Peek(reader.Buffered())
		if err != nil {
			return err
		}
		f.buffered = append(bytes.Clone(rest), f.buffered[len(f.buffered)-held.Len():]...)
	}
}

// beginsOwn tells whether bytes begin with the whole head of an answer that names the
// attempt.
func (f *surplusFilter) beginsWithOwnAnswer(text []byte) bool {
	head, _, complete := bytes.Cut(text, headTerminator)
	return complete && bytes.Contains(head, []byte(f.attempt.answerID))
}

// fillHead reads until a whole head is there, or as much as is looked at.
func (f *surplusFilter) fillHead() error {
	for !bytes.Contains(f.buffered, headTerminator) && len(f.buffered) < answerHeadLimit {
		held := len(f.buffered)
		f.buffered = slices.Grow(f.buffered, headReadSize)[:held+headReadSize]
		count, err := f.source.Read(f.buffered[held:])
		f.buffered = f.buffered[:held+count]
		if err != nil {
			return err
		}
	}
	return nil
}

// skippable tells whether an answer names an earlier request of the connection and has an
// end of its own.
func (f *surplusFilter) isSkippable(answer *http.Response) bool {
	ends := answer.ContentLength >= 0 || len(answer.TransferEncoding) > 0
	named := answer.Header.Get(f.attempt.answerHeader)
	return ends && named != "" && named != f.attempt.answerID && slices.Contains(f.earlierIDs[:], named)
}
