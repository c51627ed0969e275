package harmful

import (
	"slices"
	"time"

	"github.com/springstack/springstack/internal/core/quarantine"
)

// isolationWait is how long a request waits to run alone at a gate.
const isolationWait = 500 * time.Millisecond

// isolation is how a request is kept apart at a daemon.
func (d *day) isolation(at *daemon, sent *work) quarantine.Isolation {
	if !d.way.Isolated {
		return quarantine.AlongsideTrusted
	}
	return at.table.View(d.Now()).Isolation(d.Now(), sent.signature)
}

// isolate has a request wait until nothing else runs at a gate, for isolationWait at most.
func (d *day) isolate(sent *work, gate int) {
	at := d.daemons[gate]
	at.alone = sent
	d.After(isolationWait, func() {
		if at.alone != sent || slices.Contains(at.running, sent) {
			return
		}
		at.alone = nil
		if d.isolation(at, sent) == quarantine.AloneRequired {
			d.again(sent)
		} else {
			sent.hasTurn = true
			d.run(sent, gate)
		}
		d.nextTurn(at, gate)
	})
}

// startAlone starts the request that waits for nothing else to run.
func (d *day) startAlone(at *daemon, gate int) {
	if sent := at.alone; sent != nil && len(at.running) == 0 {
		sent.hasTurn = true
		d.run(sent, gate)
	}
}
