// Package callclass tells kinds of calls apart by what the operators' files say
// of their routes, so that what is learned of one kind (how long it runs, how often
// it is repeated) is not mixed with what is learned of another.
package callclass

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/springstack/springstack/internal/core/resource"
)

// Count is the number of classes. Whatever is kept for each class is bounded by it;
// two of five kinds of calls fall into one class in 2 of 100 configurations, and are
// then only treated alike.
const Count = 512

// Class is a number below Count. Daemons that hold the same route give it the
// same class.
type Class uint16

// Of returns the class of a route: routes that state the same partner, target,
// timeout, priority and repetition are of one class, so that a route which is
// added or renamed is expected to behave like its like.
func Of(route *resource.Route) Class {
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
	_, _ = digest.Write(fields[:])                   // a digest's Write never fails
	_, _ = digest.WriteString(string(route.Partner)) // the same
	return Class(digest.Sum64() % Count)
}

// Valid tells whether a number that came over the wire is a class.
func Valid(number int) bool { return number >= 0 && number < Count }
