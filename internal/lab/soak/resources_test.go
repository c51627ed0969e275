package soak

import (
	"io"
	"net"
	"os"
	"syscall"
	"testing"

	"github.com/juju/errors"
	"github.com/matryer/is"
)

// Each outcome without an answer has a named cause.
func TestWhyNoAnswerCameIsNamed(t *testing.T) {
	check := is.New(t)
	for cause, err := range map[string]error{
		"refused":                  &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)},
		"reset":                    &net.OpError{Op: "read", Err: os.NewSyscallError("read", syscall.ECONNRESET)},
		"closed":                   errors.Trace(io.ErrUnexpectedEOF),
		"time over":                errors.Trace(&net.OpError{Op: "read", Err: os.ErrDeadlineExceeded}),
		"the soak lacks something": &net.OpError{Op: "dial", Err: os.NewSyscallError("socket", syscall.EMFILE)},
		"unknown":                  errors.New("malformed"),
	} {
		check.Equal(causeOf(err), cause)
	}
	check.Equal(unanswered(make([]Answer, 2), "closed")[1].reason(), "0 closed")
}

// Guards against a soak that runs out of descriptors and reports it as broken promises of the
// mesh alone.
func TestALackOfDescriptorsIsToldByItsName(t *testing.T) {
	check := is.New(t)
	played := newTestSoak(0)
	played.log = func(string, string) {}
	played.linkFailed(&net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", syscall.ECONNABORTED)})
	check.Equal(len(played.oracle.Violations()), 0)
	for range 2 {
		played.linkFailed(errors.Annotate(os.NewSyscallError("timerfd", syscall.EMFILE), "timer"))
	}
	violations := played.oracle.Violations()
	check.Equal(len(violations), 1)
	check.Equal(violations[0].Promise, promiseOfResources)
	check.True(!violations[0].Timed)
	check.Equal(played.resources.failures, 3)
}
