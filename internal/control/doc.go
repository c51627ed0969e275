// Package control carries the messages of internal/core/protocol between
// daemons over net/rpc. net/rpc by itself has no bound on a message, no
// deadline, no cancellation and no limit on concurrent calls; this package
// adds them:
//
//   - a message travels in one length-prefixed frame, whose length is checked
//     before anything is allocated for it, and whose gob type definitions or CBOR
//     elements are bounded;
//   - each write has a deadline, and a frame must be complete within a time after its first byte;
//   - a call ends with its context, and a connection on which nothing was received during a call
//     that timed out is closed;
//   - the calls of one connection, the connections and all calls together are
//     bounded;
//   - bytes are counted on the wire, by kind of message and by peer.
//
// Messages are encoded with gob, which sends its types once a connection, or, if the client chooses
// so, with CBOR. In a large mesh most calls are the first on their connection, and there a call with
// gob costs ten times as much as one with CBOR.
package control

import "time"

// Limits bounds the resources that a peer may use. DefaultLimits returns the values for production.
type Limits struct {
	// RequestBytes bounds one inbound request frame, decompressed. Decoding may
	// allocate up to about 300 times as much for a hostile frame (a gob slice
	// element of one byte becomes one Member), so large frames are decoded one
	// at a time.
	RequestBytes int
	// ReplyBytes bounds one reply frame, decompressed.
	ReplyBytes int
	// Connections bounds the accepted connections.
	Connections int
	// CallsPerConnection bounds the calls of one connection that run at once;
	// more are read only when one has been answered.
	CallsPerConnection int
	// Calls bounds all accepted calls that run at once; more are refused.
	Calls int
	// WriteTimeout bounds the writing of one frame.
	WriteTimeout time.Duration
	// FrameTimeout bounds the arrival of one frame after its first byte.
	FrameTimeout time.Duration
	// IdleTimeout is the time without received data after which an accepted connection is closed.
	IdleTimeout time.Duration
	// UnusedTimeout closes a connection made that no call uses. It must be
	// below IdleTimeout, so that the calling side closes first and no call is
	// lost to it.
	UnusedTimeout time.Duration
	// DialTimeout bounds connecting, the TLS handshake included.
	DialTimeout time.Duration
}

// DefaultLimits returns the production bounds.
func DefaultLimits() Limits {
	return Limits{
		RequestBytes:       768 << 10,
		ReplyBytes:         8 << 20,
		Connections:        2048,
		CallsPerConnection: 16,
		Calls:              4096,
		WriteTimeout:       5 * time.Second,
		FrameTimeout:       10 * time.Second,
		IdleTimeout:        60 * time.Second,
		UnusedTimeout:      10 * time.Second,
		DialTimeout:        2 * time.Second,
	}
}
