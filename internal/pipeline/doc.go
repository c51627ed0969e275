// Package pipeline runs requests that a client has sent one behind another on
// an HTTP/1.1 connection side by side. The server of net/http takes the requests
// of a connection in turn: it parses one, runs its handler, and only then looks
// at the next. Conn stands between that server and the socket. While a handler
// runs, it reads on, starts the handlers of the requests that wait, and holds
// their answers. When the server comes to such a request, the held answer is
// replayed. Order, framing and the life of the connection stay the library's.
//
// Only requests that may be repeated are run ahead of their turn, for a client
// whose connection closes takes those behind the last answer for unread and sends
// them again. Such a request ends the looking ahead until its own turn comes, and so does
// one with a body or with anything unusual in its head.
//
// Reading on also shows that the client has left while requests wait, which
// the server alone sees only when none does.
package pipeline
