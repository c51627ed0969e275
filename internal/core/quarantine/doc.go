// Package quarantine decides which requests are kept from the back ends of a mesh because
// they end each back end that runs them (a query of death). It does no input or output and
// reads no clock.
//
// A gate tells of the end of its back end and of the requests that were at work there. Most
// of these are harmless: they only ran beside the one that did it. So a request is first
// suspected only, and a suspected one runs apart from others that are: callers' sides send
// each suspected request to one gate that all of them agree on, and gates run one at a time.
// A good answer clears it. All ends together are explained by as few requests as possible
// (see Table.judge); one that explains enough of them is held, that is refused by every
// daemon at once, and what only ran beside it is trusted again.
//
// Records of requests are merged in any order, as often as they come: the ends of a round are
// a set, and a good answer ends the round.
package quarantine
