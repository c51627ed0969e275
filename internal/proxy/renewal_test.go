package proxy

import (
	"testing"

	"github.com/matryer/is"

	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/core/snapshot"
)

// A running call must be answered by its back end even if another view is put in force in the
// meantime, before or after the start of a drain.
func TestNewViewDoesNotEndRunningCall(t *testing.T) {
	changes := []struct {
		name  string
		apply func(*mesh)
	}{
		{"an equal one", func(m *mesh) { m.caller.PublishMembers(m.members) }},
		{"another incarnation of the daemon", func(m *mesh) {
			m.members[0].Incarnation++
			m.caller.PublishMembers(m.members)
		}},
		{"another address of the daemon", func(m *mesh) {
			m.members[0].DataAddress = "127.0.0.1:1"
			m.caller.PublishMembers(m.members)
		}},
		{"the daemon drains", func(m *mesh) {
			m.members[0].Sequence++
			m.members[0].Endpoint = protocol.EndpointDraining
			m.caller.PublishMembers(m.members)
		}},
		{"the daemon is gone", func(m *mesh) { m.caller.PublishMembers(nil) }},
		{"a configuration without routes and back ends", func(m *mesh) { m.caller.Swap(&snapshot.Snapshot{Version: 2}) }},
		{"the daemon is unreachable", func(m *mesh) { m.caller.SetReachable(m.members[0].ID, false) }},
	}
	for _, change := range changes {
		for _, drained := range []string{"before", "after"} {
			t.Run(change.name+" "+drained+" the drain", func(t *testing.T) {
				check := is.New(t)
				backend := newBlockingBackend()
				mesh := startMesh(t, meshOptions{}, backend.spec())
				results := make(chan callResult)
				for _, method := range []string{"GET", "POST"} {
					go func() { results <- mesh.call(t, method, "/", "x") }()
					<-backend.entered
				}
				if drained == "after" {
					mesh.caller.StartDrain()
					mesh.gates[0].StartDrain()
				}
				change.apply(mesh)
				if drained == "before" {
					mesh.caller.StartDrain()
					mesh.gates[0].StartDrain()
				}
				close(backend.release)
				check.Equal((<-results).body, "done")
				check.Equal((<-results).body, "done")
			})
		}
	}
}
