// Package callclass assigns calls to classes by the settings of their routes, so that
// statistics such as service times and retry rates are kept separately for different
// kinds of calls.
package callclass

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/springstack/springstack/internal/core/resource"
)

// Count is the number of classes, which bounds the memory for values kept per class.
// If the routes have five different settings, the probability that two of these share a
// class is 2 %; the only effect is that they share their statistics.
const Count = 512

// Class identifies a class of calls by a number below Count. All daemons assign the
// same class to the same route.
type Class uint16

// OfRoute returns the class of a route, a hash of its partner, latency target, timeout,
// priority and repeatability. A route that is added or renamed thus shares the statistics of
// the routes with the same settings.
func OfRoute(route *resource.Route) Class {
	var fields [26]byte
	binary.LittleEndian.PutUint64(fields[0:], uint64(route.Target))
	binary.LittleEndian.PutUint64(fields[8:], uint64(route.Timeout))
	binary.LittleEndian.PutUint64(fields[16:], uint64(route.Priority))
	if route.Repeatable != nil {
		fields[24] = 1
		if *route.Repeatable {
			fields[25] = 1
		}
	}
	digest := xxhash.New()
	_, _ = digest.Write(fields[:])                   // never fails
	_, _ = digest.WriteString(string(route.Partner)) // never fails
	return Class(digest.Sum64() % Count)
}

// Valid reports whether a number received from the network is a class.
func Valid(number int) bool { return number >= 0 && number < Count }
