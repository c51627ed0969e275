package logging

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// stuckWriter blocks until it is released, as a standard output does that
// nobody reads.
type stuckWriter struct {
	released chan struct{}
	mutex    sync.Mutex
	text     bytes.Buffer
}

func (w *stuckWriter) Write(text []byte) (int, error) {
	<-w.released
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.text.Write(text)
}

func TestAStuckOutputBlocksNobody(t *testing.T) {
	check := is.New(t)
	stuck := &stuckWriter{released: make(chan struct{})}
	queue := NewQueue(stuck)
	const written = 3 * queueLines
	for index := range written {
		count, err := queue.Write([]byte(fmt.Sprintf("line %d\n", index)))
		check.NoErr(err)
		check.True(count > 0)
	}
	check.True(queue.Dropped() > 0)
	queue.Close(time.Millisecond) // gives up
	close(stuck.released)
	<-queue.ended
	lines := strings.Count(stuck.text.String(), "\n")
	check.Equal(uint64(lines)+queue.Dropped(), uint64(written)) // each line is written or counted
}

func TestLinesAreWrittenWholeAndInOrder(t *testing.T) {
	check := is.New(t)
	var out bytes.Buffer
	queue := NewQueue(&out)
	var wanted strings.Builder
	for index := range 500 {
		line := fmt.Sprintf("line %d\n", index)
		wanted.WriteString(line)
		_, _ = queue.Write([]byte(line))
	}
	queue.Close(time.Minute)
	check.Equal(out.String(), wanted.String())
}

func TestRateAllowsABurstAndThenARate(t *testing.T) {
	check := is.New(t)
	rate := NewRate(10, 5)
	allowed := 0
	for range 20 {
		if rate.Allow(time.Second) {
			allowed++
		}
	}
	check.Equal(allowed, 5)
	check.Equal(rate.Dropped(), uint64(15))
	check.True(!rate.Allow(time.Second + 50*time.Millisecond))
	check.True(rate.Allow(time.Second + 120*time.Millisecond))
	check.True(!rate.Allow(0)) // a clock never goes back, but must not fill it either
}
