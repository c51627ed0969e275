package dissemination

// Fanout is how many daemons one daemon passes a broadcast on to. Seven reach a
// zone of 56 in two steps; more would burden the relay, fewer take more steps.
const Fanout = 7

// Branches divides the targets of a broadcast into at most Fanout parts of about
// the same length. The first of each part is sent the message and the rest of
// its part, to which it passes the message on in the same way.
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
