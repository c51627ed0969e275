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
const headLimit = 16 << 10

// readSize is how much of a head is read at a time, in bytes: the library's own buffer.
const readSize = 4 << 10

// earlierLimit is how many requests of a connection are remembered: an answer in excess
// belongs to the last one, or one of the last few where it comes late.
const earlierLimit = 4

// headEnding ends the head of an answer.
var headEnding = []byte("\r\n\r\n")

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
	found bool
	// ready was read and is passed on next.
	ready []byte
	// earlier are the ids of the last requests sent before the attempt's, in turn, of sent
	// in all.
	earlier [earlierLimit]string
	sent    int
}

// begin notes that a request is sent. It is called before any byte of it goes out, when no
// other one is under way.
func (f *surplusFilter) begin(id string) {
	f.earlier[f.sent%earlierLimit] = id
	f.sent++
}

// read reads for the library. The owner is asked for once bytes have come, since the library
// reads a connection before the next attempt is sent on it.
func (f *surplusFilter) read(into []byte, owner func() *attemptGuard) (int, error) {
	if len(f.ready) == 0 {
		count, err := f.source.Read(into)
		attempt := owner()
		if attempt != f.attempt {
			f.attempt, f.found = attempt, false
		}
		if err != nil || f.found || attempt == nil || attempt.answerID == "" {
			return count, err
		}
		if f.beginsOwn(into[:count]) {
			f.found = true // the usual case, in which nothing is copied or parsed twice
			return count, nil
		}
		f.ready = append(f.ready, into[:count]...)
		if err := f.skipForeign(); err != nil {
			return 0, err
		}
	}
	count := copy(into, f.ready)
	f.ready = f.ready[count:]
	return count, nil
}

// skipForeign reads until the attempt's own answer has begun, or an interim one, or something
// that it can't read, which is left to the library.
func (f *surplusFilter) skipForeign() error {
	for {
		if err := f.fillHead(); err != nil {
			return err
		}
		if f.beginsOwn(f.ready) || len(f.ready) >= headLimit {
			f.found = true
			return nil
		}
		held := bytes.NewReader(f.ready)
		reader := bufio.NewReader(io.MultiReader(held, f.source))
		answer, err := http.ReadResponse(reader, nil)
		if err != nil || !f.skippable(answer) {
			f.found = true
			return nil
		}
		if _, err := io.Copy(io.Discard, answer.Body); err != nil {
			return err
		}
		rest, err := reader.Peek(reader.Buffered())
		if err != nil {
			return err
		}
		f.ready = append(bytes.Clone(rest), f.ready[len(f.ready)-held.Len():]...)
	}
}

// beginsOwn tells whether bytes begin with the whole head of an answer that names the
// attempt.
func (f *surplusFilter) beginsOwn(text []byte) bool {
	head, _, complete := bytes.Cut(text, headEnding)
	return complete && bytes.Contains(head, []byte(f.attempt.answerID))
}

// fillHead reads until a whole head is there, or as much as is looked at.
func (f *surplusFilter) fillHead() error {
	for !bytes.Contains(f.ready, headEnding) && len(f.ready) < headLimit {
		held := len(f.ready)
		f.ready = slices.Grow(f.ready, readSize)[:held+readSize]
		count, err := f.source.Read(f.ready[held:])
		f.ready = f.ready[:held+count]
		if err != nil {
			return err
		}
	}
	return nil
}

// skippable tells whether an answer names an earlier request of the connection and has an
// end of its own.
func (f *surplusFilter) skippable(answer *http.Response) bool {
	ends := answer.ContentLength >= 0 || len(answer.TransferEncoding) > 0
	named := answer.Header.Get(f.attempt.answerHeader)
	return ends && named != "" && named != f.attempt.answerID && slices.Contains(f.earlier[:], named)
}
