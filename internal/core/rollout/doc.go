// Package rollout decides how a new software version of a service gets traffic:
// first a small share at a few back ends, then all of it, or none any more. It holds
// the records that daemons tell each other, the evidence that gates count, the test
// that condemns a version, and the decider's state machine. It does no input or output
// and reads no clock. docs/design/rollouts.md weighs the ways considered.
package rollout
