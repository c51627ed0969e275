package scale

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/springstack/springstack/internal/core/protocol"
)

// roleBound bounds the question for the members.
const roleBound = 10 * time.Second

// readRoles notes the role of each daemon as the members' records show it.
func (r *run) readRoles(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, roleBound)
	defer cancel()
	body, err := r.cluster.Nodes[0].Daemon.Shell().AskOperator(ctx, &protocol.StatusRequest{Format: protocol.Format})
	if err != nil {
		return errors.Trace(err)
	}
	reply, ok := body.(*protocol.StatusReply)
	if !ok {
		return errors.Errorf("status was answered by %T", body)
	}
	roles := make(map[protocol.NodeID]Role)
	for _, member := range reply.Members {
		if member.Parent != "" && roles[member.Parent] != RoleRoot {
			roles[member.Parent] = RoleRelay
		}
		if member.Root {
			roles[member.ID] = RoleRoot
		}
	}
	r.roles = make([]Role, len(r.cluster.Nodes))
	for index, one := range r.cluster.Nodes {
		r.roles[index] = RoleLeaf
		if role, found := roles[protocol.NodeID(one.ID)]; found {
			r.roles[index] = role
		}
	}
	return nil
}
