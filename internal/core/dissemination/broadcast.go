package dissemination

// Fanout is the maximum number of daemons to which a daemon forwards a broadcast. With
// 7, a broadcast reaches a zone of 56 daemons in two steps. A larger fanout increases
// the load of the relay, a smaller one the number of steps.
const Fanout = 7

// Branches divides the targets of a broadcast into at most Fanout branches of about
// equal length. The sender sends the message and the rest of the branch to the
// first target of each branch. That target forwards the message to the rest in the same way.
func Branches[Target any](targets []Target) [][]Target {
	count := min(Fanout, len(targets))
	branches := make([][]Target, 0, count)
	for index := range count {
		from := index * len(targets) / count
		to := (index + 1) * len(targets) / count
		branches = append(branches, targets[from:to])
	}
	return branches
}
