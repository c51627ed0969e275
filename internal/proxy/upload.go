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
	errBodyEvicted       = errors.ConstError("the request's body has not arrived, and its place is needed for others")
)

// minLargeBodyBytes is the minimum length of a large body, in bytes. A large body is sent to a
// gate only after the gate has asked for it. From then on the gate does not refuse the call
// because of its target: sending the bytes once more, mostly between zones, costs more than
// a late answer.
const minLargeBodyBytes = 16 << 10

const (
	// maxStreamPause and maxStreamPreload limit a pause within a body of unknown length, and the time
	// for which it is read, before the first attempt.
	maxStreamPause   = 250 * time.Millisecond
	maxStreamPreload = time.Second
	// streamPollInterval is how often preload checks them.
	streamPollInterval = 50 * time.Millisecond
)

const (
	// minKeptCapacity is the initial capacity for kept bytes.
	minKeptCapacity = 2 << 10
	// longBodyKeepLimit is the keepLimit of a body that is declared to be longer than the limit, so
	// that it can't be kept completely.
	longBodyKeepLimit = 64 << 10
)

const (
	// signatureReadBytes is how much of a body is read at a time for its signature.
	signatureReadBytes = 8 << 10
	// maxDiscardWait and maxDiscardBytes limit how much is read and discarded of a body whose call
	// has been answered. Closing a connection with unread bytes would reset it before the
	// caller has read the answer.
	maxDiscardWait  = 250 * time.Millisecond
	maxDiscardBytes = 256 << 10
	// maxArrivedBodyWait and maxArrivedBodyBytes limit the reading of a short body before a
	// refusal. Such a body has usually arrived with its headers. Once it is read, the
	// connection can be kept.
	maxArrivedBodyWait  = 2 * time.Millisecond
	maxArrivedBodyBytes = 64 << 10
)

// upload is the body of a request as its attempts read it. It is streamed; the first bytes
// are kept so that the body can be sent again until more than keepLimit bytes have been
// read.
type upload struct {
	// mutex is private to the call, so that calls don't contend for it. It is needed because
	// an earlier attempt may still read while the next one begins.
	mutex        sync.Mutex
	source       io.ReadCloser
	control      *http.ResponseController
	stallTimeout time.Duration
	maxBytes     int64
	keepLimit    int
	// keptBytes holds all bytes read until they exceed keepLimit. Then overflow is set and
	// keptBytes is dropped.
	keptBytes []byte
	overflow  bool
	// published holds the bytes that preload has kept, for attempts that begin while it still awaits the
	// next part; nil for none.
	published atomic.Pointer[[]byte]
	// needsHash is set if the first bytes must be hashed before they are dropped; prefixHash
	// is their hash.
	needsHash  bool
	prefixHash quarantine.Hash
	readCount  int64
	// readErr is the error with which reading ended, including io.EOF.
	readErr error
	// declaredLength is the Content-Length, or -1 if there is none.
	declaredLength int64
	// awaitsContinue is set if the request has an Expect header: the sender may wait for
	// the status 100 (Continue) before it sends the body.
	awaitsContinue bool
	// readUntil is the time limit of preload; zero otherwise.
	readUntil time.Time
	// memory limits the memory for kept bytes; nil for no limit. isHolder is set while it counts those
	// of this upload.
	memory   *evictingBudget
	isHolder bool
	// evicted is set once the upload must give way to others before the body has arrived.
	evicted atomic.Bool
	// progressAt is when a part of the body last arrived, in nanoseconds since phaseOrigin.
	progressAt atomic.Int64
	// closeAnnounced is set once the answer's head announces the close of the connection.
	closeAnnounced bool
}

// newUpload returns the upload of a request, or nil if the request has no body.
func newUpload(request *http.Request, control *http.ResponseController, limits Limits, memory *evictingBudget) *upload {
	if request.ContentLength == 0 || request.Body == nil || request.Body == http.NoBody {
		return nil
	}
	// Answers may begin before the body has ended, and refusals need not wait
	// for it. Servers of HTTP/1.1 support this.
	_ = control.EnableFullDuplex()
	created := &upload{
		source:       request.Body,
		control:      control,
		stallTimeout: limits.StallTimeout,
		maxBytes:     limits.BodyBytes,
		keepLimit:    limits.ReplayBytes,

		declaredLength: request.ContentLength,
		awaitsContinue: request.Header.Get("Expect") != "",
		memory:         memory,
	}
	if created.declaredLength > int64(created.keepLimit) {
		created.keepLimit = min(created.keepLimit, longBodyKeepLimit)
	}
	created.recordProgress()
	return created
}

// newReader returns a reader from the start of the body, or nil if there is no body.
func (u *upload) newReader() io.ReadCloser {
	if u == nil {
		return nil
	}
	return &uploadReader{upload: u}
}

// preload reads the body to its end, or the first keepLimit bytes of a longer one, before the first
// attempt. A slow sender then occupies no slot, and a call that did not run can always be sent again if
// its body is not longer. It reads until the deadline of ctx, and calls onProgress, unless nil, for
// each part that arrives. A body of unknown length may depend on the answer, so it is only read while
// it arrives without a pause.
func (u *upload) preload(ctx context.Context, onProgress func()) error {
	if u == nil {
		return nil
	}
	if u.declaredLength >= 0 {
		return u.preloadWhile(ctx, onProgress, func() bool { return true })
	}
	var paused atomic.Bool
	ended := make(chan error, 1)
	go func() { ended <- u.preloadWhile(ctx, onProgress, func() bool { return !paused.Load() }) }()
	poll := time.NewTicker(streamPollInterval)
	defer poll.Stop()
	startedAt := time.Now()
	for {
		select {
		case err := <-ended:
			return err
		case <-poll.C:
		}
		if u.stalledFor() >= maxStreamPause || time.Since(startedAt) >= maxStreamPreload {
			paused.Store(true) // the reading goroutine ends with the next part, which the attempt awaits
			return nil
		}
	}
}

// preloadWhile is preload as long as mayRead returns true.
func (u *upload) preloadWhile(ctx context.Context, onProgress func(), mayRead func() bool) error {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.readUntil, _ = ctx.Deadline()
	defer func() { u.readUntil = time.Time{} }()
	needsMore := func() bool { return mayRead() && !u.overflow && len(u.keptBytes) < u.keepLimit }
	for u.readErr == nil && ctx.Err() == nil && needsMore() {
		if u.readKept() > 0 && onProgress != nil {
			onProgress()
		}
	}
	switch {
	case u.readErr == io.EOF, u.readErr == nil && !needsMore():
		return u.keepMemory()
	case isStallError(u.readErr) && !u.readUntil.IsZero() && !time.Now().Before(u.readUntil):
		return context.DeadlineExceeded
	}
	return cmp.Or(u.readErr, ctx.Err())
}

// isLarge reports whether the body is large or of unknown length.
func (u *upload) isLarge() bool {
	return u != nil && (u.declaredLength < 0 || u.declaredLength >= minLargeBodyBytes)
}

// isReplayable reports whether the body can be read from its start. It returns false while
// an earlier attempt is still reading.
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

// readFailure returns the error with which reading the body failed, or nil.
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

// announceClose must be called before the head of an answer is written. If the body has not
// been read to its end, the answer announces that the connection closes, since the rest of
// the body would otherwise be parsed as the next request.
func (u *upload) announceClose(header http.Header) {
	if u != nil && !u.isFullyRead() {
		u.closeAnnounced = true
		header.Set("Connection", "close")
	}
}

// isFullyRead reports whether the body was read to its end. It is false while an attempt is
// reading.
func (u *upload) isFullyRead() bool {
	if !u.mutex.TryLock() {
		return false
	}
	defer u.mutex.Unlock()
	return u.readErr == io.EOF
}

// readArrived reads and discards a short body that has arrived already, before a refusal.
func (u *upload) readArrived() {
	if u == nil || u.awaitsContinue || u.declaredLength < 0 || u.declaredLength > maxArrivedBodyBytes || !u.mutex.TryLock() {
		return
	}
	defer u.mutex.Unlock()
	u.discard(maxArrivedBodyWait)
}

// discard reads at most maxDiscardBytes within the given time and drops them and the kept
// bytes. The lock is held.
func (u *upload) discard(wait time.Duration) {
	if u.readErr != nil {
		return
	}
	_ = u.control.SetReadDeadline(time.Now().Add(wait))
	_, err := io.CopyN(io.Discard, u.source, maxDiscardBytes)
	u.overflow = true
	u.dropKept()
	u.readErr = err
	if err == io.EOF {
		_ = u.control.SetReadDeadline(time.Time{})
	}
}

// finish must be called at the end of the handler. It flushes the answer, limits further
// reading to maxDiscardWait, also by an attempt, and discards a limited part of the rest of the
// body. It aborts the connection if no answer was begun.
func (u *upload) finish() {
	if u == nil {
		return
	}
	defer u.releaseMemory()
	if u.isFullyRead() {
		return
	}
	if !u.closeAnnounced {
		// No answer was begun, so the connection must be aborted.
		panic(http.ErrAbortHandler)
	}
	_ = u.control.Flush()
	_ = u.control.SetReadDeadline(time.Now().Add(maxDiscardWait))
	u.mutex.Lock()
	defer u.mutex.Unlock()
	if !u.awaitsContinue || u.readCount > 0 {
		u.discard(maxDiscardWait)
	}
}

// uploadReader reads the body for one attempt.
type uploadReader struct {
	upload   *upload
	offset   int
	detached atomic.Bool
}

// Read returns kept bytes if there are any after the offset, or else reads from the source.
func (r *uploadReader) Read(bytes []byte) (int, error) {
	if published := r.upload.published.Load(); published != nil && r.offset < len(*published) && !r.detached.Load() {
		copied := copy(bytes, (*published)[r.offset:])
		r.offset += copied
		return copied, nil
	}
	r.upload.mutex.Lock()
	defer r.upload.mutex.Unlock()
	if r.detached.Load() {
		return 0, errBodyDetached
	}
	if r.upload.overflow && int64(r.offset) != r.upload.readCount {
		return 0, errBodyNotReplayable
	}
	if !r.upload.overflow && r.offset < len(r.upload.keptBytes) {
		copied := copy(bytes, r.upload.keptBytes[r.offset:])
		r.offset += copied
		return copied, nil
	}
	count, err := r.upload.read(bytes)
	r.offset += count
	return count, err
}

// Close makes further reads fail; it does not wait for a read in progress.
func (r *uploadReader) Close() error {
	r.detached.Store(true)
	return nil
}

// read reads the next bytes from the source and keeps them if keepLimit allows it. The lock is held.
func (u *upload) read(bytes []byte) (int, error) {
	count, err := u.readSource(bytes)
	u.keepBytes(bytes[:count])
	return count, err
}

// readSource reads the next bytes from the source within stallTimeout and readUntil. The lock is held.
func (u *upload) readSource(bytes []byte) (int, error) {
	if u.readErr != nil {
		return 0, u.readErr
	}
	deadline := time.Now().Add(u.stallTimeout)
	if !u.readUntil.IsZero() && u.readUntil.Before(deadline) {
		deadline = u.readUntil
	}
	_ = u.control.SetReadDeadline(deadline)
	if u.evicted.Load() {
		u.readErr = errBodyEvicted
		return 0, u.readErr
	}
	count, err := u.source.Read(bytes)
	u.readCount += int64(count)
	if count > 0 {
		u.recordProgress()
	}
	if isStallError(err) && u.evicted.Load() {
		err = errBodyEvicted
	}
	if u.readCount > u.maxBytes {
		u.readErr = errBodyTooLarge
		return 0, u.readErr
	}
	if err != nil {
		u.readErr = err
	}
	if err == io.EOF {
		// From here on the server detects by itself that the caller disconnects.
		_ = u.control.SetReadDeadline(time.Time{})
	}
	return count, err
}

// isStallError reports whether an error means that a peer was too slow.
func isStallError(err error) bool {
	return errors.Is(err, os.ErrDeadlineExceeded)
}
