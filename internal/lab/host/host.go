// Package host reads what the machine says of this process, so that figures
// can be shown with the conditions that they were measured under.
package host

import (
	"os"
	"runtime"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"
)

// Conditions are what else went on while something was measured.
type Conditions struct {
	// Processors is how many threads may run at once.
	Processors int `json:"processors"`
	// LoadAverage is the machine's load over one minute; -1 when unknown.
	LoadAverage float64 `json:"load_average"`
}

// Now returns the present conditions.
func Now() Conditions {
	return Conditions{Processors: runtime.GOMAXPROCS(0), LoadAverage: loadAverage()}
}

// loadAverageFile is where Linux tells its load.
const loadAverageFile = "/proc/loadavg"

// loadAverage reads the load over one minute.
func loadAverage() float64 {
	text, err := os.ReadFile(loadAverageFile)
	if err != nil {
		return -1
	}
	first, _, _ := strings.Cut(string(text), " ")
	value, err := strconv.ParseFloat(first, 64)
	if err != nil {
		return -1
	}
	return value
}

// ProcessorTime is the processor time that this process has used.
func ProcessorTime() time.Duration {
	var usage unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// descriptorsDirectory lists the open descriptors of this process.
const descriptorsDirectory = "/proc/self/fd"

// Descriptors are the descriptors of this process: how many are open, and how many may be.
func Descriptors() (open, most int, err error) {
	directory, err := os.Open(descriptorsDirectory)
	if err != nil {
		return 0, 0, errors.Trace(err)
	}
	defer directory.Close()
	names, err := directory.Readdirnames(-1)
	if err != nil {
		return 0, 0, errors.Trace(err)
	}
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return 0, 0, errors.Trace(err)
	}
	return len(names) - 1, int(limit.Cur), nil // without the one that lists them
}
