package demo

import (
	"io"
	"sync"

	"github.com/go-logfmt/logfmt"
)

// narrator writes one line of key=value pairs a step.
type narrator struct {
	mutex sync.Mutex
	out   io.Writer
}

// tell writes a line with the event and pairs of keys and values.
func (n *narrator) tell(event string, pairs ...any) {
	line, err := logfmt.MarshalKeyvals(append([]any{"event", event}, pairs...)...)
	if err != nil {
		line = []byte("event=" + event)
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	_, _ = n.out.Write(append(line, '\n')) // narration must not end the demo
}
