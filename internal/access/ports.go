package access

import (
	"crypto/tls"
	"net/url"

	"github.com/juju/errors"

	"github.com/springstack/springstack/internal/settings"
)

// Ports holds the TLS configurations of a daemon; all are nil without
// certificates, which means in the clear, or the system's authorities for the
// platform.
type Ports struct {
	// Control is for the control port, Peers for calls to other daemons'.
	Control *tls.Config
	Peers   *tls.Config
	// Operators is for the operators' port.
	Operators *tls.Config
	// Platform is for calls to the platform.
	Platform *tls.Config
	// Identity is behind all of them; nil in the clear.
	Identity *Identity
}

// NewPorts reads the certificates that the settings name.
func NewPorts(given settings.Settings) (Ports, error) {
	if !given.TLS.Enabled() {
		return Ports{}, nil
	}
	identity, err := NewIdentity(given.TLS, given.Node.ID)
	if err != nil {
		return Ports{}, errors.Trace(err)
	}
	platform, err := url.Parse(given.Platform.URL)
	if err != nil {
		return Ports{}, errors.Annotate(err, "platform.url")
	}
	return Ports{
		Control:   identity.ControlServer(),
		Peers:     identity.ControlClient(),
		Operators: identity.OperatorsServer(),
		Platform:  identity.PlatformClient(platform.Hostname()),
		Identity:  identity,
	}, nil
}
