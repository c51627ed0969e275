package faultpoint

// The points, by the invariant that each one breaks first.
const (
	// None is no fault.
	None Point = iota
)
