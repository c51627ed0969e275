package oracle

import "time"

// Settled judges liveness once faults have stopped and the stated bound has
// passed: each proxy must serve what was accepted last, and that must be said
// to be in force. Proxies are those that should be running.
func (o *Oracle) Settled(at time.Duration, proxies []ProxyName, final map[ProxyName]Holding) {
	for _, name := range proxies {
		known := o.proxy(name)
		if !known.serving {
			o.violate(at, Liveness, "%s does not serve", name)
			continue
		}
		if known.current < o.accepted {
			o.violate(at, Liveness, "%s serves %d, accepted is %d", name, known.current, o.accepted)
		}
		o.checkFinal(at, name, final[name])
	}
	if count := o.Unsucceeded(); count > 0 {
		o.violate(at, Liveness, "%d valid changes sent after the faults are not accepted", count)
	}
	if o.claimed < o.accepted {
		o.violate(at, Liveness, "accepted is %d, said to be in force is %d", o.accepted, o.claimed)
	}
}

// checkFinal checks that each file told accepted is held in its last accepted
// form, unless a change whose outcome is not known may have replaced it.
func (o *Oracle) checkFinal(at time.Duration, name ProxyName, holding Holding) {
	markers := map[FileName]string{}
	for _, held := range holding.Resources {
		markers[held.File] = held.Marker
	}
	for _, file := range o.sortedHistories() {
		history := o.files[file]
		last := history.lastAccepted(holding.Version)
		if last == nil || !last.visibleIn(holding) || history.openAfter(last, holding.Version) {
			continue
		}
		if markers[file] != last.Marker {
			o.violate(at, Liveness, "%s holds %q of %s, accepted last is %s",
				name, markers[file], file, last.Operation)
		}
	}
}

// openAfter reports whether a change other than last, of which it is not
// known that it was accepted earlier or beyond the version, may have taken
// effect since.
func (h *fileHistory) openAfter(last *change, version uint64) bool {
	for _, known := range h.changes {
		if known == last || known.impossible() {
			continue
		}
		if known.accepted == 0 || known.accepted > last.accepted && known.accepted <= version {
			return true
		}
	}
	return false
}

// Lagging returns the proxies that do not yet serve what was accepted last,
// for a run that waits for liveness.
func (o *Oracle) Lagging(proxies []ProxyName) []ProxyName {
	var lagging []ProxyName
	for _, name := range proxies {
		known := o.proxy(name)
		if !known.serving || known.current < o.accepted {
			lagging = append(lagging, name)
		}
	}
	return lagging
}

// InForce returns the highest version that was said to be in force.
func (o *Oracle) InForce() uint64 { return o.claimed }
