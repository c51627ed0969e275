package link

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/samber/lo"
	"go.uber.org/goleak"
)

// echoServer sends back what it reads until the listener is closed.
func echoServer(t *testing.T) net.Listener {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				_, _ = io.Copy(conn, conn)
			}()
		}
	}()
	return listener
}

// dial opens a link with the config and a connection over it.
func dial(t *testing.T, config Config) (*Link, net.Conn) {
	opened, err := Open(config)
	if err != nil {
		t.Fatal(err)
	}
	conn, err := net.Dial("tcp", opened.Address())
	if err != nil {
		t.Fatal(err)
	}
	return opened, conn
}

func TestLatencyOpenCostAndHalfClose(t *testing.T) {
	defer goleak.VerifyNone(t)
	is := is.New(t)
	server := echoServer(t)
	defer server.Close()
	for _, latency := range []time.Duration{0, 5 * time.Millisecond} {
		opened, conn := dial(t, Config{Target: server.Addr().String(), Latency: latency, OpenCost: 3 * time.Millisecond})
		start := time.Now()
		_, err := conn.Write([]byte("beans"))
		is.NoErr(err)
		is.NoErr(conn.(*net.TCPConn).CloseWrite())
		answer, err := io.ReadAll(conn)
		is.NoErr(err)
		is.Equal(string(answer), "beans")
		is.True(time.Since(start) >= 2*latency)
		is.NoErr(conn.Close())
		opened.Close()
	}
}

func TestResetAfterCountsBytes(t *testing.T) {
	defer goleak.VerifyNone(t)
	is := is.New(t)
	server := echoServer(t)
	defer server.Close()
	for _, latency := range []time.Duration{0, time.Millisecond} {
		opened, conn := dial(t, Config{Target: server.Addr().String(), Latency: latency})
		opened.ResetAfter(Backward, 3)
		_, err := conn.Write([]byte("beans"))
		is.NoErr(err)
		answer, err := io.ReadAll(conn)
		is.True(err != nil)
		is.True(len(answer) <= 3)
		is.NoErr(conn.Close())
		opened.Close()
	}
}

func TestACancelledResetDoesNotCome(t *testing.T) {
	defer goleak.VerifyNone(t)
	check := is.New(t)
	server := echoServer(t)
	defer server.Close()
	opened, conn := dial(t, Config{Target: server.Addr().String()})
	opened.ResetAfter(Backward, 3)
	opened.CancelReset(Backward)
	check.Equal(echo(t, conn), "beans")
	check.NoErr(conn.Close())
	opened.Close()
}

func TestCutHoldsBytesUntilHealed(t *testing.T) {
	defer goleak.VerifyNone(t)
	is := is.New(t)
	server := echoServer(t)
	defer server.Close()
	opened, conn := dial(t, Config{Target: server.Addr().String(), Latency: time.Millisecond})
	opened.Cut(Backward)
	_, err := conn.Write([]byte("beans"))
	is.NoErr(err)
	buffer := make([]byte, 5)
	is.NoErr(conn.SetReadDeadline(time.Now().Add(20 * time.Millisecond)))
	_, err = conn.Read(buffer)
	is.True(err != nil)
	opened.Heal(Backward)
	is.NoErr(conn.SetReadDeadline(time.Time{}))
	_, err = io.ReadFull(conn, buffer)
	is.NoErr(err)
	is.NoErr(conn.Close())
	opened.Close()
}

func TestSilenceIsForGoodAndOnlyForOpenConnections(t *testing.T) {
	defer goleak.VerifyNone(t)
	server := echoServer(t)
	defer server.Close()
	for _, latency := range []time.Duration{0, time.Millisecond} {
		check := is.New(t)
		opened, silent := dial(t, Config{Target: server.Addr().String(), Latency: latency})
		check.Equal(echo(t, silent), "beans") // both sides are open
		opened.Silence()
		_, err := silent.Write([]byte("lost"))
		check.NoErr(err)
		opened.Reset() // a silent connection is not told
		working, err := net.Dial("tcp", opened.Address())
		check.NoErr(err)
		check.Equal(echo(t, working), "beans")
		check.NoErr(silent.SetReadDeadline(time.Now().Add(20 * time.Millisecond)))
		_, err = silent.Read(make([]byte, 1))
		timeout, is := err.(net.Error)
		check.True(is && timeout.Timeout()) // neither bytes nor an end
		check.NoErr(working.Close())
		check.NoErr(silent.Close())
		opened.Close()
	}
}

// echo sends some bytes and returns what comes back.
func echo(t *testing.T, conn net.Conn) string {
	buffer := []byte("beans")
	if _, err := conn.Write(buffer); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(conn, buffer); err != nil {
		t.Fatal(err)
	}
	return string(buffer)
}

// failingListener can't take its first connections, as when descriptors run out.
type failingListener struct {
	net.Listener
	failures int
}

// Accept fails some times.
func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures > 0 {
		l.failures--
		return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	}
	return l.Listener.Accept()
}

// Guards against a link that takes no connection any more after it once lacked a descriptor.
func TestALinkThatOnceLackedADescriptorTakesConnectionsAgain(t *testing.T) {
	defer goleak.VerifyNone(t)
	check := is.New(t)
	server := echoServer(t)
	defer server.Close()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	check.NoErr(err)
	failures := make(chan error, 2)
	opened := relay(&failingListener{Listener: listener, failures: 2}, Config{
		Target: server.Addr().String(), Failed: func(err error) { failures <- err },
	})
	conn, err := net.Dial("tcp", opened.Address())
	check.NoErr(err)
	check.Equal(echo(t, conn), "beans")
	check.True(errors.Is(<-failures, syscall.EMFILE))
	check.True(errors.Is(<-failures, syscall.EMFILE))
	check.NoErr(conn.Close())
	opened.Close()
	check.Equal(len(failures), 0) // a link that is closed lacks nothing
}

// Guards against silent connections that keep both of their ends for as long as their link lives.
func TestTheEndOfASilentConnectionThatIsClosedIsFreed(t *testing.T) {
	defer goleak.VerifyNone(t)
	server := echoServer(t)
	defer server.Close()
	for _, latency := range []time.Duration{0, time.Millisecond} {
		check := is.New(t)
		opened, silent := dial(t, Config{Target: server.Addr().String(), Latency: latency})
		check.Equal(echo(t, silent), "beans")
		relayed := lo.Keys(opened.connections)[0]
		opened.Silence()
		check.NoErr(silent.Close())
		for deadline := time.Now().Add(10 * closedLinger); relayed.near.SetDeadline(time.Time{}) == nil; time.Sleep(time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatal("its end is still open")
			}
		}
		check.NoErr(relayed.far.SetDeadline(time.Time{})) // the other party does not learn of it
		opened.Close()
	}
}
