package node

import "time"

// Node is the state machine of one daemon.
type Node struct {
	config Config
}

// New returns a node that has not been stepped yet.
func New(config Config) *Node {
	return &Node{config: config}
}

// Step takes one message at the monotonic time now and returns what the shell
// has to do. It never blocks. Times must not decrease between calls.
func (n *Node) Step(now time.Duration, message Message) []Effect {
	return nil
}
