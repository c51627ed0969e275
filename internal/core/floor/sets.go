package floor

import "github.com/springstack/springstack/internal/core/protocol"

// MaxKeepers is the largest keeper set.
const MaxKeepers = 8

// writeQuorums holds the write quorum by size of the set.
var writeQuorums = [MaxKeepers + 1]int{0, 1, 2, 2, 3, 4, 5, 6, 6}

// Quorums returns how many keepers of a set of the size must store a version
// before its release, and how many answers are enough to learn the floor.
// Their sum always exceeds the size.
func Quorums(size int) (write, read int) {
	if size < 1 || size > MaxKeepers {
		return 0, 0
	}
	write = writeQuorums[size]
	return write, size - write + 1
}

// ChooseKeepers returns the keeper set that a region should have, and whether
// it differs from the current one.
func ChooseKeepers(region string, current protocol.KeeperSet, live []protocol.Member) (protocol.KeeperSet, bool) {
	return current, false
}
