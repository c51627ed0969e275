// Package quarantine decides which requests are kept from the back ends of a mesh because
// they end each back end that runs them (a query of death). It does no input or output and
// reads no clock.
//
// A gate tells of the end of its back end and of the requests that were at work there. Most
// of these are harmless: they only ran beside the one that did it. So a request is first
// suspected only, and a suspected one runs apart from others that are: callers' sides send
// each suspected request to one gate that all of them agree on, and gates run one at a time.
// Another end then is of that one alone, and a good answer clears it. A request is held,
// that is refused by every daemon at once, when enough ends in a row were of it.
//
// Records of requests are merged in any order, as often as they come: the ends of a round are
// a set, and a good answer ends the round.
package quarantine
