package daemon

import (
	"github.com/samber/do/v2"

	"github.com/springstack/springstack/internal/control"
	"github.com/springstack/springstack/internal/core/node"
)

// meshPart is a daemon's node with its control connections: all but the data
// path and the other listening addresses.
type meshPart struct {
	shell  *Shell
	server *control.Server
	client *control.Client
	meter  *control.Meter
}

// newMesh makes the node, which does not run yet.
func (d *Daemon) newMesh(injector do.Injector) (*meshPart, error) {
	opened, path, err := d.pathParts(injector)
	if err != nil {
		return nil, err
	}
	secure, err := do.Invoke[*security](injector)
	if err != nil {
		return nil, err
	}
	port, err := do.Invoke[*platformPart](injector)
	if err != nil {
		return nil, err
	}
	config := nodeConfig(d.settings, d.overrides)
	config.DataAddress = opened.gate.Addr().String()
	config.ControlAddress = opened.control.Addr().String()
	limits := control.DefaultLimits()
	meter := control.NewMeter()
	client := control.NewClient(secure.Peers, limits, meter)
	shell := NewShell(ShellOptions{
		Node:     node.New(config),
		Clock:    d.clock,
		Peers:    client,
		Platform: port,
		Path:     path,
		Events:   d.events,
	})
	server := control.NewServer(opened.control, secure.Control, shell, limits, meter)
	return &meshPart{shell: shell, server: server, client: client, meter: meter}, nil
}

// start begins to serve control calls and to step the node.
func (m *meshPart) start() {
	m.server.Start()
	m.shell.Start()
}

// stop ends the node at once, as a crash would, and waits for its goroutines.
func (m *meshPart) stop() {
	m.shell.cancel()
	m.server.Close()
	m.client.Close()
	m.shell.Stop()
}

// Shutdown ends the node and its control connections.
func (m *meshPart) Shutdown() error {
	m.stop()
	return nil
}
