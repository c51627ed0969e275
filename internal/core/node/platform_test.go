package node_test

import (
	"slices"
	"strings"

	"github.com/springstack/springstack/internal/core/node"
	"github.com/springstack/springstack/internal/core/object"
	"github.com/springstack/springstack/internal/result"
)

// platform is a minimal platform: objects, watches and a switch for outages.
type platform struct {
	cluster *cluster
	version object.Version
	objects map[string]object.Object
	watches []watch
	down    bool
	calls   int
}

type watch struct {
	token      node.Token
	prefix     string
	daemon     *daemon
	generation int
}

func newPlatform(c *cluster) *platform {
	return &platform{cluster: c, objects: map[string]object.Object{}}
}

func (p *platform) call(d *daemon, generation int, call node.CallPlatform) {
	p.calls++
	p.cluster.after(baseLatency, func() {
		reply := p.execute(call.Call)
		p.cluster.after(baseLatency, func() {
			if d.generation == generation {
				p.cluster.step(d, node.PlatformReply{Token: call.Token, Reply: reply})
			}
		})
	})
}

func (p *platform) execute(call object.Call) object.Reply {
	if p.down {
		return object.Reply{Code: result.PlatformUnavailable}
	}
	known, found := p.objects[call.Name]
	switch call.Kind {
	case object.CallGet:
		if !found {
			return object.Reply{Code: result.PlatformNotFound}
		}
		return object.Reply{Object: known}
	case object.CallList:
		return object.Reply{Objects: p.list(call.Name), ListVersion: p.version}
	case object.CallCreate:
		if found {
			return object.Reply{Code: result.PlatformExists}
		}
		return p.put(call)
	case object.CallUpdate:
		if known.Version != call.Expect {
			return object.Reply{Code: result.PlatformConflict}
		}
		return p.put(call)
	case object.CallDelete:
		delete(p.objects, call.Name)
	}
	return object.Reply{}
}

func (p *platform) list(prefix string) []object.Object {
	var list []object.Object
	for name, listed := range p.objects {
		if strings.HasPrefix(name, prefix) {
			list = append(list, listed)
		}
	}
	slices.SortFunc(list, func(a, b object.Object) int { return strings.Compare(a.Name, b.Name) })
	return list
}

func (p *platform) put(call object.Call) object.Reply {
	p.version++
	written := object.Object{Name: call.Name, Version: p.version, Data: call.Data}
	p.objects[call.Name] = written
	for _, watcher := range p.watches {
		if strings.HasPrefix(call.Name, watcher.prefix) && watcher.daemon.generation == watcher.generation {
			p.cluster.after(baseLatency, func() {
				if watcher.daemon.generation == watcher.generation {
					p.cluster.step(watcher.daemon, node.PlatformEvent{Watch: watcher.token, Event: object.Event{Kind: object.EventPut, Object: written}})
				}
			})
		}
	}
	return object.Reply{Object: written}
}

func (p *platform) watch(d *daemon, generation int, start node.StartWatch) {
	p.watches = append(p.watches, watch{token: start.Token, prefix: start.Prefix, daemon: d, generation: generation})
}

func (p *platform) stopWatch(d *daemon, token node.Token) {
	p.watches = slices.DeleteFunc(p.watches, func(watcher watch) bool { return watcher.daemon == d && watcher.token == token })
}
