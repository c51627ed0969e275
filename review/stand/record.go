package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes what happened, one line for each event, with the seconds since its start.
type recorder struct {
	mutex sync.Mutex
	file  *os.File
	lines *bufio.Writer
	began time.Time
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{file: file, lines: bufio.NewWriter(file), began: time.Now()}, nil
}

// event writes a line to the record.
func (r *recorder) event(format string, values ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_, _ = fmt.Fprintf(r.lines, "%8.3f ", time.Since(r.began).Seconds())
	_, _ = fmt.Fprintf(r.lines, format+"\n", values...)
}

// note writes a line to the record and to standard output.
func (r *recorder) note(format string, values ...any) {
	r.event(format, values...)
	fmt.Printf("%8.3f "+format+"\n", append([]any{time.Since(r.began).Seconds()}, values...)...)
}

func (r *recorder) close() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_ = r.lines.Flush()
	_ = r.file.Close()
}
