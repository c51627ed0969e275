package proxy

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"slices"
)

// maxAnswerHeadBytes limits the head of an answer that is examined, in bytes. A longer head
// is passed on to the library, which has its own limit.
const maxAnswerHeadBytes = 16 << 10

// headReadSize is the number of bytes of a head that are read at a time, the size of the
// library's own buffer.
const headReadSize = 4 << 10

// rememberedRequests is how many requests of a connection are remembered: a surplus answer
// belongs to the last one or, if it is late, to one of the last few.
const rememberedRequests = 4

// headTerminator is the end of the head of an answer.
var headTerminator = []byte("\r\n\r\n")

// surplusFilter skips surplus answers on a kept connection: further answers to a request
// that the back end has already answered. A late surplus answer arrives in place of the answer
// to the current request. Closing the connection would cancel the current request, which is
// already running, and fail its call. Answers are identified by the request id that back
// ends echo. The library reads a connection in one goroutine, so the filter needs no lock.
type surplusFilter struct {
	source io.Reader
	// attempt is the current attempt on the connection.
	attempt *attemptGuard
	// ownAnswerFound is set once the answer to attempt has begun; from then on all bytes are
	// passed on.
	ownAnswerFound bool
	// bufferedBytes holds bytes that were read and are passed on next.
	bufferedBytes []byte
	// earlierIDs is a ring of the ids of the last requests, including that of attempt.
	// sentCount is the number of all requests sent.
	earlierIDs [rememberedRequests]string
	sentCount  int
}

// recordRequest records the id of a request. It must be called before any byte of the
// request is sent, while no other request is in progress.
func (f *surplusFilter) recordRequest(id string) {
	f.earlierIDs[f.sentCount%rememberedRequests] = id
	f.sentCount++
}

// read is Read of the connection, without surplus answers. It calls owner for the current
// attempt only after bytes have been received, since the library starts to read a
// connection before the next attempt is sent on it.
func (f *surplusFilter) read(into []byte, owner func() *attemptGuard) (int, error) {
	if len(f.bufferedBytes) == 0 {
		count, err := f.source.Read(into)
		attempt := owner()
		if attempt != f.attempt {
			f.attempt, f.ownAnswerFound = attempt, false
		}
		if err != nil || f.ownAnswerFound || attempt == nil || attempt.answerID == "" {
			return count, err
		}
		if f.beginsWithOwnAnswer(into[:count]) {
			f.ownAnswerFound = true // the usual case, without copying or parsing the bytes
			return count, nil
		}
		f.bufferedBytes = append(f.bufferedBytes, into[:count]...)
		if err := f.skipSurplus(); err != nil {
			return 0, err
		}
	}
	count := copy(into, f.bufferedBytes)
	f.bufferedBytes = f.bufferedBytes[count:]
	return count, nil
}

// skipSurplus skips surplus answers until the attempt's own answer has begun. Anything that
// is no surplus answer, or that it can't parse, is passed on to the library.
func (f *surplusFilter) skipSurplus() error {
	for {
		if err := f.fillHead(); err != nil {
			return err
		}
		if f.beginsWithOwnAnswer(f.bufferedBytes) || len(f.bufferedBytes) >= maxAnswerHeadBytes {
			f.ownAnswerFound = true
			return nil
		}
		unread := bytes.NewReader(f.bufferedBytes)
		reader := bufio.NewReader(io.MultiReader(unread, f.source))
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
		f.bufferedBytes = append(bytes.Clone(rest), f.bufferedBytes[len(f.bufferedBytes)-unread.Len():]...)
	}
}

// beginsWithOwnAnswer reports whether text begins with the complete head of an answer that
// contains the id of the attempt.
func (f *surplusFilter) beginsWithOwnAnswer(text []byte) bool {
	head, _, complete := bytes.Cut(text, headTerminator)
	return complete && bytes.Contains(head, []byte(f.attempt.answerID))
}

// fillHead reads until a complete head or maxAnswerHeadBytes bytes are buffered.
func (f *surplusFilter) fillHead() error {
	for !bytes.Contains(f.bufferedBytes, headTerminator) && len(f.bufferedBytes) < maxAnswerHeadBytes {
		length := len(f.bufferedBytes)
		f.bufferedBytes = slices.Grow(f.bufferedBytes, headReadSize)[:length+headReadSize]
		count, err := f.source.Read(f.bufferedBytes[length:])
		f.bufferedBytes = f.bufferedBytes[:length+count]
		if err != nil {
			return err
		}
	}
	return nil
}

// isSkippable reports whether an answer names an earlier request of the connection and
// states where it ends.
func (f *surplusFilter) isSkippable(answer *http.Response) bool {
	statesEnd := answer.ContentLength >= 0 || len(answer.TransferEncoding) > 0
	answerID := answer.Header.Get(f.attempt.answerHeader)
	return statesEnd && answerID != "" && answerID != f.attempt.answerID && slices.Contains(f.earlierIDs[:], answerID)
}
