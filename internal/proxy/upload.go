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
	errBodyTooLarge = errors.ConstError("the request's body exceeds the limit")
	errBodyDetached = errors.ConstError("the attempt no longer reads the request's body")
	errBodyGone     = errors.ConstError("the request's body can't be sent again")
)

// largeBody is the length, in bytes, from which on a body is large: it is sent to a
// gate only when that takes it, and its call's target is not heeded there. To be
// refused and sent on costs its bytes once more, mostly between zones, which is
// dearer than that the answer comes late.
const largeBody = 16 << 10

const (
	// signReadBytes is how much is read at a time of a body whose signature is needed.
	signReadBytes = 8 << 10
	// discardWait and discardBytes bound the rest of a body that nobody wants;
	// it is read so that closing its connection does not reset it before the
	// caller has read the answer.
	discardWait  = 250 * time.Millisecond
	discardBytes = 256 << 10
	// arrivedWait bounds the reading of a short body before a refusal. It has
	// usually arrived with its headers, and the connection can then be kept.
	arrivedWait  = 2 * time.Millisecond
	arrivedBytes = 64 << 10
)

// upload is the body of a caller's request as its attempts read it: streamed,
// with its first bytes kept so that it can be sent again as long as no more
// than those were read.
type upload struct {
	// mutex is this call's own: an attempt that was given up may still read
	// while the next one begins.
	mutex   sync.Mutex
	source  io.ReadCloser
	control *http.ResponseController
	stall   time.Duration
	limit   int64
	keep    int
	// kept holds all that was read, until it would exceed keep.
	kept     []byte
	overflow bool
	// signs has the first bytes hashed before they are dropped; firstHash is their hash then.
	signs     bool
	firstHash quarantine.Hash
	count     int64
	// failure is how the source ended, io.EOF included.
	failure error
	// declared is the stated length, or -1.
	declared int64
	// expects is set while the caller waits for leave to send the body.
	expects bool
	// until is when the reading ends; zero for no bound but the stall.
	until time.Time
	// closing is set once the caller was told that its connection ends.
	closing bool
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
		source:  request.Body,
		control: control,
		stall:   limits.StallTimeout,
		limit:   limits.BodyBytes,
		keep:    limits.ReplayBytes,

		declared: request.ContentLength,
		expects:  request.Header.Get("Expect") != "",
	}
}

// open returns a reader from the body's start; it answers nil for no body.
func (u *upload) open() io.ReadCloser {
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
	if u == nil || u.declared < 0 || u.declared > int64(u.keep) {
		return nil
	}
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.until, _ = ctx.Deadline()
	defer func() { u.until = time.Time{} }()
	buffer := make([]byte, u.declared+1)
	for u.failure == nil && ctx.Err() == nil {
		count, _ := u.read(buffer) // keeps what it reads, and how it ended
		if count > 0 && flows != nil {
			flows()
		}
	}
	switch {
	case u.failure == io.EOF:
		return nil
	case stalled(u.failure) && !u.until.IsZero() && !time.Now().Before(u.until):
		return context.DeadlineExceeded
	}
	return cmp.Or(u.failure, ctx.Err())
}

// isLarge tells whether the body is large or of unknown length.
func (u *upload) isLarge() bool {
	return u != nil && (u.declared < 0 || u.declared >= largeBody)
}

// replayable tells whether the body can be read from its start. It can't while
// an attempt that was given up is still reading.
func (u *upload) replayable() bool {
	if u == nil {
		return true
	}
	if !u.mutex.TryLock() {
		return false
	}
	defer u.mutex.Unlock()
	return !u.overflow && (u.failure == nil || u.failure == io.EOF)
}

// problem is why the body could not be read, or nil.
func (u *upload) problem() error {
	if u == nil || !u.mutex.TryLock() {
		return nil
	}
	defer u.mutex.Unlock()
	if u.failure == io.EOF {
		return nil
	}
	return u.failure
}

// beforeAnswer is called before the head of an answer is written. A caller
// whose body has not been read to its end is told that the connection closes
// after the answer, for what is left of the body would be taken for the next
// request.
func (u *upload) beforeAnswer(header http.Header) {
	if u != nil && !u.ended() {
		u.closing = true
		header.Set("Connection", "close")
	}
}

// ended tells whether the body was read to its end. It is not while an attempt
// still reads.
func (u *upload) ended() bool {
	if !u.mutex.TryLock() {
		return false
	}
	defer u.mutex.Unlock()
	return u.failure == io.EOF
}

// takeArrived reads a short body that has arrived already, before a refusal.
func (u *upload) takeArrived() {
	if u == nil || u.expects || u.declared < 0 || u.declared > arrivedBytes || !u.mutex.TryLock() {
		return
	}
	defer u.mutex.Unlock()
	u.discard(arrivedWait)
}

// discard reads on without keeping anything; the lock is held.
func (u *upload) discard(wait time.Duration) {
	if u.failure != nil {
		return
	}
	_ = u.control.SetReadDeadline(time.Now().Add(wait))
	_, err := io.CopyN(io.Discard, u.source, discardBytes)
	u.overflow = true
	u.kept = nil
	u.failure = err
	if err == io.EOF {
		_ = u.control.SetReadDeadline(time.Time{})
	}
}

// finish ends the reading, whoever reads, at the end of the handler. The
// answer is sent first, so nobody waits for what the caller still sends.
func (u *upload) finish() {
	if u == nil || u.ended() {
		return
	}
	if !u.closing {
		// No answer was begun: the connection is about to be broken.
		panic(http.ErrAbortHandler)
	}
	_ = u.control.Flush()
	_ = u.control.SetReadDeadline(time.Now().Add(discardWait))
	u.mutex.Lock()
	defer u.mutex.Unlock()
	if !u.expects || u.count > 0 {
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
	if r.upload.overflow && int64(r.offset) != r.upload.count {
		return 0, errBodyGone
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
	if u.failure != nil {
		return 0, u.failure
	}
	latest := time.Now().Add(u.stall)
	if !u.until.IsZero() && u.until.Before(latest) {
		latest = u.until
	}
	_ = u.control.SetReadDeadline(latest)
	count, err := u.source.Read(bytes)
	u.count += int64(count)
	if u.count > u.limit {
		u.failure = errBodyTooLarge
		return 0, u.failure
	}
	u.remember(bytes[:count])
	if err != nil {
		u.failure = err
	}
	if err == io.EOF {
		// From here on the server itself watches for the caller hanging up.
		_ = u.control.SetReadDeadline(time.Time{})
	}
	return count, err
}

// stalled tells whether an error is that of a peer that was too slow.
func stalled(err error) bool {
	return errors.Is(err, os.ErrDeadlineExceeded)
}
