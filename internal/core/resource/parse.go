package resource

import "github.com/springstack/springstack/internal/result"

// Limits bound what Parse reads.
type Limits struct {
	// Bytes bounds the text.
	Bytes int
	// Depth bounds nesting.
	Depth int
}

// DefaultLimits returns 256 KiB and a depth of 16.
func DefaultLimits() Limits { return Limits{Bytes: 256 << 10, Depth: 16} }

// Parse reads one file.
func Parse(fileName string, text []byte, limits Limits) (*File, []*result.Error) {
	panic("soon")
}
