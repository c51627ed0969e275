package backend

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"github.com/springstack/springstack/internal/pause"
)

// Forward makes the further call of a nested request: the back end asks its
// own daemon for the next service. It answers the status of that call.
type Forward func(ctx context.Context, incoming *http.Request, depth int) (status int, err error)

// Server serves a Model over HTTP on one fixed address. It can be crashed and
// started again; the records of the model outlive that.
type Server struct {
	name    string
	origin  time.Time
	forward Forward

	mutex   sync.Mutex
	model   *Model
	address string
	http    *http.Server
	served  chan struct{}
}

// headerTimeout bounds the reading of a request's headers.
const headerTimeout = 10 * time.Second

// Start listens on address ("127.0.0.1:0" for any port) and serves. Times in
// the records count from origin.
func Start(name, address string, config Config, origin time.Time, forward Forward) (*Server, error) {
	server := &Server{
		name:    name,
		origin:  origin,
		forward: forward,
		address: address,
		model:   NewModel(config, time.Since(origin)),
	}
	if err := server.listen(); err != nil {
		return nil, errors.Trace(err)
	}
	return server, nil
}

// listen opens the listener and serves on it.
func (s *Server) listen() error {
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return errors.Annotatef(err, "back end %s", s.name)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathHealth, s.serveHealth)
	mux.HandleFunc("GET "+PathLoad, s.serveLoad)
	mux.HandleFunc("/", s.serveCall)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
	served := make(chan struct{})
	s.mutex.Lock()
	s.address = listener.Addr().String()
	s.http = server
	s.served = served
	s.mutex.Unlock()
	go func() {
		defer close(served)
		// Serve ends with ErrServerClosed when the back end is stopped.
		_ = server.Serve(listener)
	}()
	return nil
}

// Address is the IP and port that the back end serves on.
func (s *Server) Address() string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.address
}

// Name is the name given at the start.
func (s *Server) Name() string { return s.name }

// Now is the time since the origin of the records.
func (s *Server) Now() time.Duration { return time.Since(s.origin) }

// With runs a function on the model under its lock.
func (s *Server) With(function func(model *Model, now time.Duration)) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	function(s.model, s.Now())
}

// Runs copies the records of all starts.
func (s *Server) Runs() []Run {
	var runs []Run
	s.With(func(model *Model, _ time.Duration) {
		runs = append(runs, model.Runs()...)
	})
	return runs
}

// Drain signals that the back end is leaving.
func (s *Server) Drain() {
	s.With(func(model *Model, now time.Duration) { model.Drain(now) })
}

// Crash kills the back end: its connections break and its runs end.
func (s *Server) Crash() {
	s.With(func(model *Model, now time.Duration) { model.Crash(now) })
	s.close()
}

// Stop ends the back end after the calls in flight have been answered, as a
// well-behaved process does, or when the context ends.
func (s *Server) Stop(ctx context.Context) error {
	s.mutex.Lock()
	server := s.http
	s.mutex.Unlock()
	err := server.Shutdown(ctx)
	s.Crash()
	return errors.Trace(err)
}

// Restart starts a crashed or stopped back end again on its address, cold.
func (s *Server) Restart() error {
	s.close()
	s.With(func(model *Model, now time.Duration) { model.Restart(now) })
	return s.listen()
}

// close closes the listener and all connections and waits for the accept loop.
func (s *Server) close() {
	s.mutex.Lock()
	server, served := s.http, s.served
	s.mutex.Unlock()
	// Close only reports errors of closing the listener; the port is free anyhow.
	_ = server.Close()
	<-served
}

// crashFromHandler crashes from within a call.
func (s *Server) crashFromHandler() {
	s.With(func(model *Model, now time.Duration) { model.Crash(now) })
	s.mutex.Lock()
	server := s.http
	s.mutex.Unlock()
	_ = server.Close()
}

// serveHealth answers the health probe.
func (s *Server) serveHealth(writer http.ResponseWriter, _ *http.Request) {
	var healthy, draining bool
	s.With(func(model *Model, now time.Duration) {
		healthy = model.Healthy(now)
		draining, _ = model.Draining()
	})
	if draining {
		writer.Header().Set(HeaderDraining, "true")
	}
	if !healthy {
		writer.WriteHeader(http.StatusServiceUnavailable)
	}
}

// serveLoad answers the load report.
func (s *Server) serveLoad(writer http.ResponseWriter, _ *http.Request) {
	var report LoadReport
	var given bool
	s.With(func(model *Model, now time.Duration) { report, given = model.Load(now) })
	if !given {
		writer.WriteHeader(http.StatusNotFound)
		return
	}
	writer.Header().Set("Content-Type", "application/json")
	// A write error means that the prober has gone.
	_ = json.NewEncoder(writer).Encode(report)
}

// serveCall does one call's work.
func (s *Server) serveCall(writer http.ResponseWriter, request *http.Request) {
	id := RequestID(request.Header.Get(HeaderRequest))
	var admission Admission
	s.With(func(model *Model, now time.Duration) { admission = model.Arrive(now, id) })
	if admission.Crash == CrashBeforeReading {
		s.crashFromHandler()
	}
	switch admission.Outcome {
	case OutcomeDown:
		panic(http.ErrAbortHandler)
	case OutcomeShed:
		writer.Header().Set(HeaderRan, RanNo)
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	completed := false
	defer func() {
		s.With(func(model *Model, now time.Duration) { model.Finish(now, admission.Run, completed) })
	}()
	digest := xxhash.New()
	if _, err := io.Copy(digest, request.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	if admission.Crash == CrashMidWork {
		s.crashFromHandler()
		panic(http.ErrAbortHandler)
	}
	if !pause.For(request.Context(), admission.Service) {
		panic(http.ErrAbortHandler)
	}
	status := s.nested(request)
	if status == FailBreak {
		panic(http.ErrAbortHandler)
	}
	completed = true
	if admission.Crash == CrashBeforeAnswering {
		s.finishThenCrash(admission.Run)
		panic(http.ErrAbortHandler)
	}
	s.answer(writer, request, id, digest.Sum64(), status, admission)
}

// finishThenCrash records the work as completed and dies.
func (s *Server) finishThenCrash(run int) {
	s.With(func(model *Model, now time.Duration) { model.Finish(now, run, true) })
	s.crashFromHandler()
}

// nested makes the further call that the request asks for and returns the
// status to answer, or FailBreak.
func (s *Server) nested(request *http.Request) int {
	depth, _ := strconv.Atoi(request.Header.Get(HeaderDepth))
	fail, _ := strconv.Atoi(request.Header.Get(HeaderFail))
	if depth > 0 && s.forward != nil {
		status, err := s.forward(request.Context(), request, depth-1)
		if fail == FailBreak && (err != nil || status != http.StatusOK) {
			return FailBreak
		}
		if err != nil {
			return http.StatusBadGateway
		}
		return status
	}
	if fail != 0 {
		return fail
	}
	return http.StatusOK
}

// answer writes the whole answer, or a part of it before a planned crash.
func (s *Server) answer(writer http.ResponseWriter, request *http.Request, id RequestID, digest uint64, status int, admission Admission) {
	filler, _ := strconv.Atoi(request.Header.Get(HeaderAnswerBytes))
	head := AnswerHead(id, digest, filler)
	header := writer.Header()
	header.Set("Content-Type", "text/plain")
	header.Set("Content-Length", strconv.Itoa(len(head)+filler))
	header.Set(HeaderRequest, string(id))
	header.Set(HeaderBackend, s.name)
	writer.WriteHeader(status)
	if admission.Crash == CrashMidAnswer {
		_, _ = io.WriteString(writer, head[:len(head)/2])
		_ = http.NewResponseController(writer).Flush()
		s.finishThenCrash(admission.Run)
		panic(http.ErrAbortHandler)
	}
	// Write errors mean that the caller has gone; the work is done anyhow.
	_, _ = io.WriteString(writer, head)
	if filler > 0 {
		_ = WriteFiller(writer, string(id), filler)
	}
}
