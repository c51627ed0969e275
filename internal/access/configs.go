package access

import (
	"crypto/tls"
	"crypto/x509"

	"github.com/juju/errors"
)

// ControlServer returns the configuration of the control port: both sides show
// a certificate of the authority. Tickets are off, so that no session outlives
// a change of the authority.
func (i *Identity) ControlServer() *tls.Config {
	return i.server(func(current *material) *tls.Config {
		return &tls.Config{
			MinVersion:             tls.VersionTLS13,
			Certificates:           []tls.Certificate{*current.certificate},
			ClientAuth:             tls.RequireAndVerifyClientCert,
			ClientCAs:              current.authority,
			SessionTicketsDisabled: true,
		}
	})
}

// OperatorsServer returns the configuration of the operators' port: operators
// show tokens, not certificates.
func (i *Identity) OperatorsServer() *tls.Config {
	return i.server(func(current *material) *tls.Config {
		return &tls.Config{
			MinVersion:   tls.VersionTLS12,
			Certificates: []tls.Certificate{*current.certificate},
		}
	})
}

// server returns a configuration that is built anew for each connection.
func (i *Identity) server(build func(*material) *tls.Config) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return build(i.current()), nil
		},
	}
}

// ControlClient returns the configuration for calls to other daemons. Daemons
// are called by IP number and known by node id, so the name that is checked is
// the id in the certificate (see PeerID), not the address.
func (i *Identity) ControlClient() *tls.Config {
	config := i.client("")
	config.MinVersion = tls.VersionTLS13
	return config
}

// PlatformClient returns the configuration for calls to the platform at host,
// an IP number that its certificate has to name.
func (i *Identity) PlatformClient(host string) *tls.Config { return i.client(host) }

// client returns a configuration that checks servers by the newest authority,
// and by host unless that is empty. tls's own check is off because it knows
// only the authority of the time at which the configuration was made.
func (i *Identity) client(host string) *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS12,
		InsecureSkipVerify: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			return verifyServer(state, i.current().authority, host)
		},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return i.current().certificate, nil
		},
	}
}

// verifyServer checks the server's chain as tls would.
func verifyServer(state tls.ConnectionState, authority *x509.CertPool, host string) error {
	if len(state.PeerCertificates) == 0 {
		return errors.Unauthorizedf("server without certificate")
	}
	intermediates := x509.NewCertPool()
	for _, certificate := range state.PeerCertificates[1:] {
		intermediates.AddCert(certificate)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         authority,
		Intermediates: intermediates,
		DNSName:       host,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	})
	return errors.Trace(err)
}
