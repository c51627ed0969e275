package daemon

import (
	"net"

	"github.com/juju/errors"

	"github.com/springstack/springstack/internal/settings"
)

// listeners are the five addresses of a daemon. Those that a server has taken
// over are closed by it; closing twice does no harm.
type listeners struct {
	callers   net.Listener
	gate      net.Listener
	control   net.Listener
	operators net.Listener
	admin     net.Listener
}

// listen opens all five addresses or none.
func listen(addresses settings.Listen) (*listeners, error) {
	opened := &listeners{}
	wanted := []struct {
		name    string
		address string
		target  *net.Listener
	}{
		{"listen.callers", addresses.Callers, &opened.callers},
		{"listen.gate", addresses.Gate, &opened.gate},
		{"listen.control", addresses.Control, &opened.control},
		{"listen.operators", addresses.Operators, &opened.operators},
		{"listen.admin", addresses.Admin, &opened.admin},
	}
	for _, one := range wanted {
		listener, err := net.Listen("tcp", one.address)
		if err != nil {
			_ = opened.Shutdown() // the first failure is the one to report
			return nil, errors.Annotate(err, one.name)
		}
		*one.target = listener
	}
	return opened, nil
}

// Shutdown closes the listeners; do calls it last.
func (l *listeners) Shutdown() error {
	for _, listener := range []net.Listener{l.callers, l.gate, l.control, l.operators, l.admin} {
		if listener != nil {
			listener.Close()
		}
	}
	return nil
}

// Addresses are the addresses that a running daemon listens on, as IP:port.
type Addresses struct {
	Callers   string
	Gate      string
	Control   string
	Operators string
	Admin     string
}

func (l *listeners) addresses() Addresses {
	return Addresses{
		Callers:   l.callers.Addr().String(),
		Gate:      l.gate.Addr().String(),
		Control:   l.control.Addr().String(),
		Operators: l.operators.Addr().String(),
		Admin:     l.admin.Addr().String(),
	}
}
