package proxy

import (
	"cmp"
	"context"
	"io"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/springstack/springstack/internal/core/quarantine"
)

const (
	errBodyTooLarge      = errors.ConstError("the request's body exceeds the limit")
	errBodyDetached      = errors.ConstError("the attempt no longer reads the request's body")
	errBodyNotReplayable = errors.ConstError("the request's body can't be sent again")
)

// largeBody is the length, in bytes, from which on a body is large: it is sent to a
// gate only when that takes it, and its call's target is not heeded there. To be
// refused and sent on costs its bytes once more, mostly between zones, which is
// dearer than that the answer comes late.
const largeBodyBytes = 16 << 10

const (
	// signReadBytes is how much is read at a time of a body whose signature is needed.
	signatureReadBytes = 8 << 10
	// discardWait and discardBytes bound the rest of a body that nobody wants;
	// it is read so that closing its connection does not reset it before the
	// caller has read the answer.
	discardWait  = 250 * time.Millisecond
	discardBytes = 256 << 10
	// arrivedWait bounds the reading of a short body before a refusal. It has
	// usually arrived with its headers, and the connection can then be kept.
	arrivedBodyWait  = 2 * time.Millisecond
	arrivedBodyBytes = 64 << 10
)

// upload is the body of a caller's request as its attempts read it: streamed,
// with its first bytes kept so that it can be sent again as long as no more
// than those were read.
type upload struct {
	// mutex is this call's own: an attempt that was given up may still read
	// while the next one begins.
	mutex        sync.Mutex
	source       io.ReadCloser
	control      *http.ResponseController
	stallTimeout time.Duration
	maxBytes     int64
	keepLimit    int
	// kept holds all that was read, until it would exceed keep.
	kept     []byte
	overflow bool
	// signs has the first bytes hashed before they are dropped; firstHash is their hash then.
	needsHash  bool
	prefixHash quarantine.Hash
	readCount  int64
	// failure is how the source ended, io.EOF included.
	readErr error
	// declared is the stated length, or -1.
	declaredLength int64
	// expects is set while the caller waits for leave to send the body.
	awaitsContinue bool
	// until is when the reading ends; zero for no bound but the stall.
	readUntil time.Time
	// closing is set once the caller was told that its connection ends.
	closeAnnounced bool
}

// newUpload returns the upload of a request, or nil when it has no body.
func newUpload(request *http.Request, control *http.ResponseController, limits Limits) *upload {
	if request.ContentLength == 0 || request.Body == nil || request.Body == http.NoBody {
		return nil
	}
	// Answers may begin before the body has ended, and refusals need not wait
	// for it. Servers of HTTP/1.1 support this.
	_ = control.EnableFullDuplex()
	return &upload{
		source:       request.Body,
		control:      control,
		stallTimeout: limits.StallTimeout,
		maxBytes:     limits.BodyBytes,
		keepLimit:    limits.ReplayBytes,

		declaredLength: request.ContentLength,
		awaitsContinue: request.Header.Get("Expect") != "",
	}
}

// open returns a reader from the body's start; it answers nil for no body.
func (u *upload) newReader() io.ReadCloser {
	if u == nil {
		return nil
	}
	return &uploadReader{upload: u}
}

// preload reads a body of a stated length that can be kept whole, before the
// first attempt. A slow sender then holds no slot, and a call that did not run
// can always be sent again. It is read until the call's time is over, and flows, unless
// nil, is told of each part that comes.
func (u *upload) preload(ctx context.Context, flows func()) error {
	if u == nil || u.declaredLength < 0 || u.declaredLength > int64(u.keepLimit) {
		return nil
	}
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.readUntil, _ = ctx.Deadline()
	defer func() { u.readUntil = time.Time{} }()
	buffer := make([]byte, u.declaredLength+1)
	for u.readErr == nil && ctx.Err() == nil {
		count, _ := u.read(buffer) // keeps what it reads, and how it ended
		if count > 0 && flows != nil {
			flows()
		}
	}
	switch {
	case u.readErr == io.EOF:
		return nil
	case isStallError(u.readErr) && !u.readUntil.IsZero() && !time.Now().Before(u.readUntil):
		return context.DeadlineExceeded
	}
	return cmp.Or(u.readErr, ctx.Err())
}

// isLarge tells whether the body is large or of unknown length.
func (u *upload) isLarge() bool {
	return u != nil && (u.declaredLength < 0 || u.declaredLength >= largeBodyBytes)
}

// replayable tells whether the body can be read from its start. It can't while
// an attempt that was given up is still reading.
func (u *upload) isReplayable() bool {
	if u == nil {
		return true
	}
	if !u.mutex.TryLock() {
		return false
	}
	defer u.mutex.Unlock()
	return !u.overflow && (u.readErr == nil || u.readErr == io.EOF)
}

// problem is why the body could not be read, or nil.
func (u *upload) readFailure() error {
	if u == nil || !u.mutex.TryLock() {
		return nil
	}
	defer u.mutex.Unlock()
	if u.readErr == io.EOF {
		return nil
	}
	return u.readErr
}

// beforeAnswer is called before the head of an answer is written. A caller
// whose body has not been read to its end is told that the connection closes
// after the answer, for what is left of the body would be taken for the next
// request.
func (u *upload) announceClose(header http.Header) {
	if u != nil && !u.isFullyRead() {
		u.closeAnnounced = true
		header.Set("Connection", "close")
	}
}

// ended tells whether the body was read to its end. It is not while an attempt
// still reads.
func (u *upload) isFullyRead() bool {
	if !u.mutex.TryLock() {
		return false
	}
	defer u.mutex.Unlock()
	return u.readErr == io.EOF
}

// takeArrived reads a short body that has arrived already, before a refusal.
func (u *upload) readArrived() {
	if u == nil || u.awaitsContinue || u.declaredLength < 0 || u.declaredLength > arrivedBodyBytes || !u.mutex.TryLock() {
		return
	}
	defer u.mutex.Unlock()
	u.discard(arrivedBodyWait)
}

// discard reads on without keeping anything; the lock is held.
func (u *upload) discard(wait time.Duration) {
	if u.readErr != nil {
		return
	}
	_ = u.control.SetReadDeadline(time.Now().Add(wait))
	_, err := io.CopyN(io.Discard, u.source, discardBytes)
	u.overflow = true
	u.kept = nil
	u.readErr = err
	if err == io.EOF {
		_ = u.control.SetReadDeadline(time.Time{})
	}
}

// finish ends the reading, whoever reads, at the end of the handler. The
// answer is sent first, so nobody waits for what the caller still sends.
func (u *upload) finish() {
	if u == nil || u.isFullyRead() {
		return
	}
	if !u.closeAnnounced {
		// No answer was begun: the connection is about to be broken.
		panic(http.ErrAbortHandler)
	}
	_ = u.control.Flush()
	_ = u.control.SetReadDeadline(time.Now().Add(discardWait))
	u.mutex.Lock()
	defer u.mutex.Unlock()
	if !u.awaitsContinue || u.readCount > 0 {
		u.discard(discardWait)
	}
}

// uploadReader is one attempt's view of the body.
type uploadReader struct {
	upload   *upload
	offset   int
	detached atomic.Bool
}

// Read returns bytes kept from an earlier attempt or else read from the caller.
func (r *uploadReader) Read(bytes []byte) (int, error) {
	r.upload.mutex.Lock()
	defer r.upload.mutex.Unlock()
	if r.detached.Load() {
		return 0, errBodyDetached
	}
	if r.upload.overflow && int64(r.offset) != r.upload.readCount {
		return 0, errBodyNotReplayable
	}
	if !r.upload.overflow && r.offset < len(r.upload.kept) {
		copied := copy(bytes, r.upload.kept[r.offset:])
		r.offset += copied
		return copied, nil
	}
	count, err := r.upload.read(bytes)
	r.offset += count
	return count, err
}

// Close detaches the attempt; it does not wait for a read in progress.
func (r *uploadReader) Close() error {
	r.detached.Store(true)
	return nil
}

// read reads on from the caller, within the stall limit.
func (u *upload) read(bytes []byte) (int, error) {
	if u.readErr != nil {
		return 0, u.readErr
	}
	latest := time.Now().Add(u.stallTimeout)
	if !u.readUntil.IsZero() && u.readUntil.Before(latest) {
		latest = u.readUntil
	}
	_ = u.control.SetReadDeadline(latest)
	count, err := u.source.Read(bytes)
	u.readCount += int64(count)
	if u.readCount > u.maxBytes {
		u.readErr = errBodyTooLarge
		return 0, u.readErr
	}
	u.keepBytes(bytes[:count])
	if err != nil {
		u.readErr = err
	}
	if err == io.EOF {
		// From here on the server itself watches for the caller hanging up.
		_ = u.control.SetReadDeadline(time.Time{})
	}
	return count, err
}

// stalled tells whether an error is that of a peer that was too slow.
func isStallError(err error) bool {
	return errors.Is(err, os.ErrDeadlineExceeded)
}
