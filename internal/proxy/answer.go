package proxy

import (
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// copyBytes is the size of the buffer through which an answer streams.
const copyBytes = 32 << 10

var copyBuffers = sync.Pool{New: func() any {
	buffer := make([]byte, copyBytes)
	return &buffer
}}

// informer passes interim answers (1xx) on until the final one has come.
type informer struct {
	// mutex is this call's own; the library calls from another goroutine.
	mutex  sync.Mutex
	writer http.ResponseWriter
	ended  bool
	// hangs is called when a gate tells that the call hangs; nil where nobody asked for that.
	hangs func()
}

func (i *informer) inform(code int, header http.Header) error {
	if header.Get(headerHangs) != "" {
		if i.hangs != nil {
			i.hangs()
		}
		return nil
	}
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if i.ended || code == http.StatusContinue || code == http.StatusSwitchingProtocols {
		return nil
	}
	own := i.writer.Header()
	ending := own.Get("Connection")
	for name, values := range header {
		own[name] = slices.Clone(values)
	}
	stripHopByHop(own)
	stripOwn(own)
	i.writer.WriteHeader(code)
	clear(own)
	if ending != "" {
		own.Set("Connection", ending)
	}
	return nil
}

// tellHang tells the sender of a call that it hangs, unless its answer has come.
func (i *informer) tellHang() {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if i.ended {
		return
	}
	own := i.writer.Header()
	ending, closes := own["Connection"]
	delete(own, "Connection")
	own[headerHangs] = confirmed
	i.writer.WriteHeader(http.StatusProcessing)
	delete(own, headerHangs)
	if closes {
		own["Connection"] = ending
	}
}

func (i *informer) end() {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.ended = true
}

// delivery passes one answer on.
type delivery struct {
	writer  http.ResponseWriter
	control *http.ResponseController
	answer  *http.Response
	upload  *upload
	stall   time.Duration
	// extra is added to the headers, after springstack's own were stripped.
	extra func(http.Header)
}

// head writes the status and headers.
func (d *delivery) head() {
	header := d.writer.Header()
	for name, values := range d.answer.Header {
		header[name] = values
	}
	stripHopByHop(header)
	stripOwn(header)
	if _, found := header["Content-Type"]; !found {
		header["Content-Type"] = nil // the library would guess one
	}
	if len(d.answer.Trailer) > 0 {
		header.Set("Trailer", strings.Join(trailerNames(d.answer.Trailer), ", "))
	}
	if d.extra != nil {
		d.extra(header)
	}
	if d.answer.ContentLength >= 0 && !hasLength(header) && d.answer.StatusCode != http.StatusNoContent {
		header["Content-Length"] = []string{strconv.FormatInt(d.answer.ContentLength, 10)}
	}
	d.upload.beforeAnswer(header)
	d.allowWrite()
	d.writer.WriteHeader(d.answer.StatusCode)
}

func hasLength(header http.Header) bool {
	_, found := header["Content-Length"]
	return found
}

func trailerNames(trailer http.Header) []string {
	names := make([]string, 0, len(trailer))
	for name := range trailer {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// allowWrite bounds the next write. A failure means that the connection is
// gone, which the write then finds.
func (d *delivery) allowWrite() {
	_ = d.control.SetWriteDeadline(time.Now().Add(d.stall))
}

// body streams the body and then the trailers. On an error the answer is cut
// short: the connection of the caller must be broken, never ended cleanly.
func (d *delivery) body() error {
	buffer := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buffer)
	left := d.answer.ContentLength
	for {
		count, readErr := d.answer.Body.Read(*buffer)
		left -= int64(count)
		if count > 0 {
			if err := d.write((*buffer)[:count], left != 0); err != nil {
				return err
			}
		}
		if readErr == io.EOF {
			break
		}
		if readErr != nil {
			return readErr
		}
	}
	d.trailers()
	return nil
}

// write passes bytes on. While more is to come they are flushed, so that a
// stream is never held back.
func (d *delivery) write(bytes []byte, more bool) error {
	d.allowWrite()
	if _, err := d.writer.Write(bytes); err != nil {
		return err
	}
	if !more {
		return nil
	}
	return d.control.Flush()
}

func (d *delivery) trailers() {
	if len(d.answer.Trailer) == 0 {
		return
	}
	header := d.writer.Header()
	stripOwn(d.answer.Trailer)
	for name, values := range d.answer.Trailer {
		header[http.TrailerPrefix+name] = values
	}
}
