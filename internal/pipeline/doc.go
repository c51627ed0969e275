// Package pipeline runs the pipelined requests of an HTTP/1.1 connection concurrently.
// The server of net/http handles the requests of a connection one after another: it
// parses one, runs its handler, and only then reads the next. Conn sits between that
// server and the socket. While a handler runs, Conn reads on, starts the handlers of
// the requests that follow, and buffers their answers. When the server reaches such a
// request, the buffered answer is replayed. The order of answers, their framing and the
// lifetime of the connection remain under the control of net/http.
//
// Only requests that may be repeated run ahead of their turn: a client whose connection
// closes assumes that the requests after the last answer were not processed, and sends
// them again. A request that may not be repeated, has a body or has anything unusual in
// its head waits for its turn. Until then no request after it starts.
//
// Reading on also detects that the client has disconnected while requests wait. The
// server of net/http alone detects this only while no request waits.
package pipeline
