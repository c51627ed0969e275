package oracle

import (
	"slices"
	"sort"
	"time"
)

// ProxyName is the stable identity of a proxy over restarts.
type ProxyName string

// Holding is what a proxy put in force.
type Holding struct {
	Version uint64
	// Scope tells proxies with different shares of the configuration apart.
	Scope string
	// Partners are those whose routes the proxy's scope includes.
	Partners  []string
	Resources []Resource
}

// Resource is one resource that a proxy holds.
type Resource struct {
	// Key is partner/kind/name.
	Key string
	// File is the file that declares it, and Marker the change it came with.
	File   FileName
	Marker string
	// Owner is the partner of a route, and Needs the keys that it points at.
	Owner string
	Needs []string
	// Of is the service of a back end.
	Of string
}

// proxy is the oracle's record of a proxy.
type proxy struct {
	name ProxyName
	// held is the highest version it ever put in force, current the one that
	// its running process has in force; 0 for none.
	held    uint64
	current uint64
	serving bool
}

// content is what the first proxy of a scope held at a version.
type content struct {
	by      ProxyName
	reached []Resource
}

type contentKey struct {
	version uint64
	scope   string
}

// PutInForce records that a proxy swapped to a holding.
func (o *Oracle) PutInForce(at time.Duration, name ProxyName, holding Holding) {
	known := o.proxy(name)
	if holding.Version < known.held {
		o.violate(at, NoOlderVersion, "%s moved from %d to %d", name, known.held, holding.Version)
	}
	known.held = max(known.held, holding.Version)
	known.current = holding.Version
	present := make(map[string]bool, len(holding.Resources))
	for _, held := range holding.Resources {
		present[held.Key] = true
	}
	o.checkReferences(at, name, holding, present)
	o.checkContent(at, name, holding)
	o.checkFiles(at, name, holding, present)
	o.checkServing(at, known)
}

// Serving records whether a proxy answers callers from what it has in force.
// It is called whenever that may have changed.
func (o *Oracle) Serving(at time.Duration, name ProxyName, serving bool) {
	known := o.proxy(name)
	known.serving = serving
	o.checkServing(at, known)
}

// Stopped records that a proxy's process is gone with all it remembered.
func (o *Oracle) Stopped(name ProxyName) {
	known := o.proxy(name)
	known.serving = false
	known.current = 0
}

// ServedOlder records that a proxy answered a caller from a version older than
// one that was said to be in force before the call.
func (o *Oracle) ServedOlder(at time.Duration, name ProxyName, version uint64) {
	if version <= o.claimed {
		o.violate(at, InForceHolds, "%s answered from before %d after %d was said to be in force",
			name, version, o.claimed)
	}
}

// ToldInForce records that somebody was told that a version is in force on
// every proxy. It is judged against what proxies serve at this instant and
// against all that they serve from now on.
func (o *Oracle) ToldInForce(at time.Duration, by ProxyName, version uint64) {
	if version <= o.claimed {
		return
	}
	o.claimed = version
	for _, name := range o.sortedProxies() {
		known := o.proxies[name]
		if known.serving && known.current < version {
			o.violate(at, InForceHolds, "%s says %d is in force, %s serves %d",
				by, version, name, known.current)
		}
	}
}

func (o *Oracle) checkServing(at time.Duration, known *proxy) {
	if known.serving && known.current < o.claimed {
		o.violate(at, InForceHolds, "%s serves %d after %d was said to be in force",
			known.name, known.current, o.claimed)
	}
	if known.serving && known.current < known.held {
		o.violate(at, NoOlderVersion, "%s serves %d after it held %d",
			known.name, known.current, known.held)
	}
}

func (o *Oracle) checkReferences(at time.Duration, name ProxyName, holding Holding, present map[string]bool) {
	for _, held := range holding.Resources {
		for _, needed := range held.Needs {
			if !present[needed] {
				o.violate(at, NoDangling, "%s at %d: %s points at %s, which it does not hold",
					name, holding.Version, held.Key, needed)
			}
		}
	}
}

// checkContent compares what the routes in a proxy's scope reach with what
// the first proxy of the same scope held at the same version. A proxy that
// also passes configuration on may hold more than that.
func (o *Oracle) checkContent(at time.Duration, name ProxyName, holding Holding) {
	key := contentKey{version: holding.Version, scope: holding.Scope}
	reached := reachable(holding)
	known, found := o.contents[key]
	if !found {
		o.contents[key] = content{by: name, reached: reached}
		return
	}
	if text := difference(reached, known.reached); text != "" {
		o.violate(at, WholeOrNothing, "%s holds another content of version %d than %s:%s",
			name, holding.Version, known.by, text)
	}
}

// reachable returns the routes of the scope's partners, what they need and the
// back ends of the services among that.
func reachable(holding Holding) []Resource {
	wanted := map[string]bool{}
	for _, held := range holding.Resources {
		if held.Owner == "" || !slices.Contains(holding.Partners, held.Owner) {
			continue
		}
		wanted[held.Key] = true
		for _, needed := range held.Needs {
			wanted[needed] = true
		}
	}
	var reached []Resource
	for _, held := range holding.Resources {
		if wanted[held.Key] || held.Of != "" && wanted[held.Of] {
			reached = append(reached, held)
		}
	}
	return reached
}

// difference names some of the resources that only one of two holdings has.
func difference(one, other []Resource) string {
	var text string
	for _, held := range one {
		if !slices.ContainsFunc(other, held.same) {
			text += " +" + held.Key + "@" + held.Marker
		}
	}
	for _, held := range other {
		if !slices.ContainsFunc(one, held.same) {
			text += " -" + held.Key + "@" + held.Marker
		}
	}
	return text
}

func (r Resource) same(other Resource) bool { return r.Key == other.Key && r.Marker == other.Marker }

// checkFiles groups what is held by file and checks each file.
func (o *Oracle) checkFiles(at time.Duration, name ProxyName, holding Holding, present map[string]bool) {
	markers := map[FileName]string{}
	for _, held := range holding.Resources {
		marker, found := markers[held.File]
		if found && marker != held.Marker {
			o.violate(at, WholeOrNothing, "%s at %d holds parts of %s and of %s of file %s",
				name, holding.Version, marker, held.Marker, held.File)
		}
		markers[held.File] = held.Marker
	}
	for _, file := range sortedFiles(markers) {
		o.checkFile(at, name, holding, file, markers[file], present)
	}
	o.checkAbsent(at, name, holding, markers)
}

func (o *Oracle) checkFile(at time.Duration, name ProxyName, holding Holding,
	file FileName, marker string, present map[string]bool) {
	history := o.history(file)
	known := history.byMarker[marker]
	if known == nil {
		o.violate(at, WholeOrNothing, "%s at %d holds %s of file %s, which nobody submitted",
			name, holding.Version, marker, file)
		return
	}
	known.seen = true
	if known.impossible() {
		o.violate(at, RefusalIsTrue, "%s at %d holds operation %s, which was refused as not run",
			name, holding.Version, known.Operation)
	}
	if known.NeverValid {
		o.violate(at, WholeOrNothing, "%s at %d holds %s of bad file %s", name, holding.Version, marker, file)
	}
	for _, declared := range known.Declares {
		if declared.expectedIn(holding, present) && !present[declared.Key] {
			o.violate(at, WholeOrNothing, "%s at %d holds %s of file %s without its %s",
				name, holding.Version, marker, file, declared.Key)
		}
	}
	o.checkOrder(at, name, holding.Version, history, known)
}

// checkOrder checks one change shown at a version against what else is known
// of its file.
func (o *Oracle) checkOrder(at time.Duration, name ProxyName, version uint64,
	history *fileHistory, known *change) {
	shown, found := history.shown[version]
	if found && shown != known.Marker {
		o.violate(at, WholeOrNothing, "%s at %d holds %s of %s, others hold %s",
			name, version, known.Marker, known.File, shown)
	}
	history.shown[version] = known.Marker
	if known.accepted > version {
		o.violate(at, InForceHolds, "%s at %d holds %s, accepted only at %d",
			name, version, known.Operation, known.accepted)
	}
	last := history.lastAccepted(version)
	if last != nil && last != known && last.accepted == version {
		o.violate(at, OwnWholeAnswer, "%s at %d holds %s of %s, but %s was told that it is that version",
			name, version, known.Operation, known.File, last.Operation)
	}
	if last != nil && known.accepted != 0 && known.accepted < last.accepted {
		o.violate(at, InForceHolds, "%s at %d holds %s of %s, replaced at %d",
			name, version, known.Operation, known.File, last.accepted)
	}
}

// checkAbsent looks for accepted files of which a holding should show
// something and does not.
func (o *Oracle) checkAbsent(at time.Duration, name ProxyName, holding Holding,
	markers map[FileName]string) {
	for _, file := range o.sortedHistories() {
		if _, shown := markers[file]; shown {
			continue
		}
		history := o.files[file]
		last := history.lastAccepted(holding.Version)
		if last == nil || !last.visibleIn(holding) || history.openAfter(last, holding.Version) {
			continue
		}
		o.violate(at, InForceHolds, "%s at %d lacks file %s, accepted at %d",
			name, holding.Version, file, last.accepted)
	}
}

func (o *Oracle) sortedHistories() []FileName {
	files := make([]FileName, 0, len(o.files))
	for file := range o.files {
		files = append(files, file)
	}
	sort.Slice(files, func(i, j int) bool { return files[i] < files[j] })
	return files
}

func (o *Oracle) proxy(name ProxyName) *proxy {
	known, found := o.proxies[name]
	if !found {
		known = &proxy{name: name}
		o.proxies[name] = known
	}
	return known
}

func (o *Oracle) sortedProxies() []ProxyName {
	names := make([]ProxyName, 0, len(o.proxies))
	for name := range o.proxies {
		names = append(names, name)
	}
	sort.Slice(names, func(i, j int) bool { return names[i] < names[j] })
	return names
}

func sortedFiles(markers map[FileName]string) []FileName {
	files := make([]FileName, 0, len(markers))
	for file := range markers {
		files = append(files, file)
	}
	sort.Slice(files, func(i, j int) bool { return files[i] < files[j] })
	return files
}
