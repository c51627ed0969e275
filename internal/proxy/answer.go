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

// copyBufferBytes is the size of the buffers that answers are copied through.
const copyBufferBytes = 32 << 10

var copyBuffers = sync.Pool{New: func() any {
	buffer := make([]byte, copyBufferBytes)
	return &buffer
}}

// interimRelay forwards interim answers (1xx) of one attempt until its final answer arrives.
type interimRelay struct {
	// mutex is needed because net/http calls forward on another goroutine.
	mutex   sync.Mutex
	writer  http.ResponseWriter
	stopped bool
	// onHang is called when the gate reports that the call hangs; nil unless the attempt
	// carries headerMayHedge.
	onHang func()
}

// forward writes an interim answer to the writer. If the interim answer reports that the call
// hangs, forward calls onHang instead.
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
	writerHeader := i.writer.Header()
	connectionValue := writerHeader.Get("Connection")
	for name, values := range header {
		writerHeader[name] = slices.Clone(values)
	}
	stripHopByHop(writerHeader)
	stripOwn(writerHeader)
	i.writer.WriteHeader(code)
	clear(writerHeader)
	if connectionValue != "" {
		writerHeader.Set("Connection", connectionValue)
	}
	return nil
}

// reportHang reports to the sending daemon that the call hangs, unless the final answer has
// arrived.
func (i *interimRelay) reportHang() {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if i.stopped {
		return
	}
	writerHeader := i.writer.Header()
	connectionValues, hasConnection := writerHeader["Connection"]
	delete(writerHeader, "Connection")
	writerHeader[headerHangs] = trueHeaderValue
	i.writer.WriteHeader(http.StatusProcessing)
	delete(writerHeader, headerHangs)
	if hasConnection {
		writerHeader["Connection"] = connectionValues
	}
}

// stop ends the forwarding of interim answers.
func (i *interimRelay) stop() {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.stopped = true
}

// delivery copies one answer to the writer.
type delivery struct {
	writer       http.ResponseWriter
	control      *http.ResponseController
	answer       *http.Response
	upload       *upload
	stallTimeout time.Duration
	// held counts the memory of an answer to a caller; nil at the gate.
	held *heldAnswer
	// addHeaders, unless nil, adds headers after springstack's own headers have been removed.
	addHeaders func(http.Header)
}

// writeHead writes the status and headers.
func (d *delivery) writeHead() {
	header := d.writer.Header()
	for name, values := range d.answer.Header {
		header[name] = values
	}
	stripHopByHop(header)
	stripOwn(header)
	if _, found := header["Content-Type"]; !found {
		header["Content-Type"] = nil // net/http would guess one
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

// extendWriteDeadline sets the deadline of the next write. It fails only on a broken
// connection, and then the write fails as well.
func (d *delivery) extendWriteDeadline() {
	if d.held != nil {
		d.held.extendWriteDeadline(d.stallTimeout)
		return
	}
	_ = d.control.SetWriteDeadline(time.Now().Add(d.stallTimeout))
}

// streamBody copies the body and then the trailers. After an error the answer is incomplete:
// the receiver's connection must be aborted, so that the answer can't be taken for complete.
func (d *delivery) streamBody() error {
	buffer := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buffer)
	remaining := d.answer.ContentLength
	for {
		count, readErr := d.answer.Body.Read(*buffer)
		remaining -= int64(count)
		if count > 0 {
			if err := d.write((*buffer)[:count], remaining != 0); err != nil {
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

// write writes a part of the body. If more parts follow, it flushes the writer, so that streamed
// data is not delayed.
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
