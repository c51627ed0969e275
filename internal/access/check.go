package access

import (
	"time"

	"github.com/springstack/springstack/internal/result"
	"github.com/springstack/springstack/internal/settings"
)

// Check lists what is wrong with the files that the TLS settings name, beyond
// what settings.Load sees. now is the wall clock.
func Check(given settings.Settings, now time.Time) []*result.Error {
	if !given.TLS.Enabled() {
		return nil
	}
	identity, err := NewIdentity(given.TLS, given.Node.ID)
	if err != nil {
		return []*result.Error{{
			Code:   result.SettingsInvalid,
			Field:  "tls",
			Detail: err.Error(),
			Mend:   "give PEM files that belong together; the certificate names node.id",
		}}
	}
	leaf := identity.material.Load().certificate.Leaf
	if now.Before(leaf.NotBefore) || now.After(leaf.NotAfter) {
		return []*result.Error{{
			Code:   result.SettingsInvalid,
			Field:  "tls.certificate",
			File:   given.TLS.Certificate,
			Detail: "the certificate is not valid at this time",
			Mend:   "renew it, or set the clock",
		}}
	}
	return nil
}
