package harmful

import (
	"time"

	"github.com/springstack/springstack/internal/core/quarantine"
)

const (
	// mendOneIn is one in how many harmful requests is mended, and released.
	mendOneIn = 3
	// mendedWork is how long a harmful request runs once the back ends are mended of it.
	mendedWork = 100 * time.Millisecond
)

// mendLater draws whether the back ends are mended of a harmful request, and whether an operator
// releases it, also where they are not.
func (d *day) mendLater(signature quarantine.Signature) {
	if d.Random().IntN(mendOneIn) == 0 {
		d.After(d.Between(d.length/4, d.length), func() { d.mended[signature] = true })
	}
	if d.Random().IntN(mendOneIn) == 0 {
		d.After(d.Between(d.length/4, d.length), func() {
			d.release(d.daemons[d.Random().IntN(daemonCount)], signature)
		})
	}
}

// release has an operator release a request at a daemon that holds it.
func (d *day) release(at *daemon, signature quarantine.Signature) {
	if d.believes(at, signature) != quarantine.Held || !at.table.Clear(d.Now(), signature) {
		return
	}
	d.tell(at, signature)
	if done := d.harms[signature]; done != nil {
		d.released = append(d.released, done)
		delete(d.harms, signature)
	}
}
