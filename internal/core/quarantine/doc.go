// Package quarantine detects requests that terminate the back ends that run them (queries of death)
// and decides which requests a mesh refuses. It performs no input or output and reads no clock.
//
// An end is the termination of a back-end instance. For each end a gate records the instance and
// the requests that were in flight on it. Most of these requests are harmless and only ran
// concurrently with the one that caused the end, so an end only makes a request suspected.
// Suspected requests run separately from each other: callers send all attempts of a suspected
// request to one gate on which all callers agree, and that gate runs one suspected request at a
// time. A successful answer clears the request. The ends are attributed to as few requests as
// possible (see Table.classify). A request with enough ends attributed to it is held: every daemon
// refuses it at once. Requests that only ran concurrently with it become trusted.
//
// A trial of a request comprises the attempts that began after the ends of its earlier trials were
// known. A round is the series of ends up to a successful answer or a release by an operator; the
// next end starts the next round. Records of requests can be merged in any order and repeatedly:
// the ends of a round form a set.
package quarantine
