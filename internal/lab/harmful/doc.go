// Package harmful compares, in virtual time, ways to find the requests that end the back ends
// that run them: how many back ends end under one, how many requests of others are lost
// beside it, and whether a harmless one is ever held. The table of what is believed is the
// daemon's own (package core/quarantine); callers, gates, back ends and the spreading of news
// are a model, and each run is drawn from a seed.
package harmful
