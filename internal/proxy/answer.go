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
const copyBufferBytes = 32 << 10

var copyBuffers = sync.Pool{New: func() any {
	buffer := make([]byte, copyBufferBytes)
	return &buffer
}}

// informer passes interim answers (1xx) on until the final one has come.
type interimRelay struct {
	// mutex is this call's own; the library calls from another goroutine.
	mutex   sync.Mutex
	writer  http.ResponseWriter
	stopped bool
	// hangs is called when a gate tells that the call hangs; nil where nobody asked for that.
	onHang func()
}

func (i *interimRelay) forward(code int, header http.Header) error {
	if header.Get(headerHangs) != "" {
		if i.onHang != nil {
			i.onHang()
		}
		return nil
	}
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if i.stopped || code == http.StatusContinue || code == http.StatusSwitchingProtocols {
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
func (i *interimRelay) reportHang() {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if i.stopped {
		return
	}
	own := i.writer.Header()
	ending, closes := own["Connection"]
	delete(own, "Connection")
	own[headerHangs] = trueHeaderValue
	i.writer.WriteHeader(http.StatusProcessing)
	delete(own, headerHangs)
	if closes {
		own["Connection"] = ending
	}
}

func (i *interimRelay) stop() {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.stopped = true
}

// delivery passes one answer on.
type delivery struct {
	writer       http.ResponseWriter
	control      *http.ResponseController
	answer       *http.Response
	upload       *upload
	stallTimeout time.Duration
	// extra is added to the headers, after springstack's own were stripped.
	addHeaders func(http.Header)
}

// head writes the status and headers.
func (d *delivery) writeHead() {
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
	if d.addHeaders != nil {
		d.addHeaders(header)
	}
	if d.answer.ContentLength >= 0 && !hasContentLength(header) && d.answer.StatusCode != http.StatusNoContent {
		header["Content-Length"] = []string{strconv.FormatInt(d.answer.ContentLength, 10)}
	}
	d.upload.announceClose(header)
	d.extendWriteDeadline()
	d.writer.WriteHeader(d.answer.StatusCode)
}

func hasContentLength(header http.Header) bool {
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
func (d *delivery) extendWriteDeadline() {
	_ = d.control.SetWriteDeadline(time.Now().Add(d.stallTimeout))
}

// body streams the body and then the trailers. On an error the answer is cut
// short: the connection of the caller must be broken, never ended cleanly.
func (d *delivery) streamBody() error {
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
	d.writeTrailers()
	return nil
}

// write passes bytes on. While more is to come they are flushed, so that a
// stream is never held back.
func (d *delivery) write(bytes []byte, more bool) error {
	d.extendWriteDeadline()
	if _, err := d.writer.Write(bytes); err != nil {
		return err
	}
	if !more {
		return nil
	}
	return d.control.Flush()
}

func (d *delivery) writeTrailers() {
	if len(d.answer.Trailer) == 0 {
		return
	}
	header := d.writer.Header()
	stripOwn(d.answer.Trailer)
	for name, values := range d.answer.Trailer {
		header[http.TrailerPrefix+name] = values
	}
}
