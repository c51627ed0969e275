// Package access guards the daemon's ports: TLS for control, operators and the
// platform from PEM files that are read again when they change, and the check
// that a peer is the daemon that it says it is.
package access

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/settings"
)

// rereadInterval is the least time between two looks at the files.
const rereadInterval = time.Second

// Identity is this daemon's certificate and the authority by which it checks
// others. Its files are looked at again at most once a second, when a
// connection is made; files that can't be used leave the former ones in use.
type Identity struct {
	files  settings.TLS
	nodeID string
	now    func() time.Time
	// material is replaced as a whole.
	material atomic.Pointer[material]
	// mutex is held by the one that looks at the files.
	mutex    sync.Mutex
	lookedAt time.Time
	failure  atomic.Pointer[error]
}

// material is what one state of the files holds. It is immutable.
type material struct {
	certificate *tls.Certificate
	authority   *x509.CertPool
	stamps      stamps
}

// stamps tell whether files have changed.
type stamps [3]stamp

type stamp struct {
	modified time.Time
	size     int64
}

// NewIdentity reads the files. The certificate has to name the node.
func NewIdentity(files settings.TLS, nodeID string) (*Identity, error) {
	identity := &Identity{files: files, nodeID: nodeID, now: time.Now}
	found, err := readStamps(files)
	if err != nil {
		return nil, errors.Trace(err)
	}
	loaded, err := loadMaterial(files, nodeID, found)
	if err != nil {
		return nil, errors.Trace(err)
	}
	identity.material.Store(loaded)
	identity.lookedAt = identity.now()
	return identity, nil
}

// Failure returns why the newest state of the files is not in use; nil when it
// is.
func (i *Identity) Failure() error {
	if failure := i.failure.Load(); failure != nil {
		return *failure
	}
	return nil
}

// Expires returns when the certificate in use expires, after a look at the
// files.
func (i *Identity) Expires() time.Time { return i.current().certificate.Leaf.NotAfter }

// current returns the newest usable material.
func (i *Identity) current() *material {
	if i.mutex.TryLock() {
		defer i.mutex.Unlock()
		if now := i.now(); now.Sub(i.lookedAt) >= rereadInterval {
			i.lookedAt = now
			i.reread()
		}
	}
	return i.material.Load()
}

// reread loads the files if they have changed. A failed load is tried again at
// the next look, since a certificate and its key are not replaced in one step.
func (i *Identity) reread() {
	found, err := readStamps(i.files)
	if err == nil && found == i.material.Load().stamps {
		i.failure.Store(nil)
		return
	}
	var loaded *material
	if err == nil {
		loaded, err = loadMaterial(i.files, i.nodeID, found)
	}
	if err != nil {
		i.failure.Store(&err)
		return
	}
	i.material.Store(loaded)
	i.failure.Store(nil)
}

// readStamps looks at the three files.
func readStamps(files settings.TLS) (stamps, error) {
	var found stamps
	for n, path := range []string{files.Certificate, files.Key, files.Authority} {
		info, err := os.Stat(path)
		if err != nil {
			return stamps{}, errors.Trace(err)
		}
		found[n] = stamp{modified: info.ModTime(), size: info.Size()}
	}
	return found, nil
}

// loadMaterial reads and checks the three files.
func loadMaterial(files settings.TLS, nodeID string, found stamps) (*material, error) {
	certificate, err := tls.LoadX509KeyPair(files.Certificate, files.Key)
	if err != nil {
		return nil, errors.Annotate(err, "certificate and key")
	}
	if !names(certificate.Leaf, protocol.NodeID(nodeID)) {
		return nil, errors.NotValidf("certificate that does not name node %q", nodeID)
	}
	text, err := os.ReadFile(files.Authority)
	if err != nil {
		return nil, errors.Annotate(err, "authority")
	}
	authority := x509.NewCertPool()
	if !authority.AppendCertsFromPEM(text) {
		return nil, errors.NotValidf("authority without a certificate")
	}
	return &material{certificate: &certificate, authority: authority, stamps: found}, nil
}
