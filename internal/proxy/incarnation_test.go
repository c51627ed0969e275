package proxy

import (
	"testing"

	"github.com/matryer/is"

	"github.com/springstack/springstack/internal/core/protocol"
)

func TestOwnIncarnationsContainOnlyOwnNumbers(t *testing.T) {
	is := is.New(t)
	own := &ownIncarnations{}
	own.add(7)
	own.addFromMembers("self", []protocol.Member{{ID: "other", Incarnation: 8}, {ID: "self", Incarnation: 9}})
	is.True(own.contains("7"))
	is.True(!own.contains("8")) // an earlier process of the node may have used it
	is.True(own.contains("9"))
	is.True(!own.contains("-1"))
	is.True(!own.contains("nine"))
}
