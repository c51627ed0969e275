// Package rollout decides how a new software version of a service receives traffic: first a small
// share at a few back ends, then either all of it or none. It contains the records that daemons
// exchange, the evidence that gates collect, the statistical test that detects a bad version, and
// the state machine of the decider. It performs no input or output and reads no clock. The
// alternatives considered are in docs/design/rollouts.md.
package rollout
