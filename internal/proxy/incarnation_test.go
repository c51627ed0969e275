package proxy

import (
	"testing"

	"github.com/matryer/is"

	"github.com/springstack/springstack/internal/core/protocol"
)

func TestGateAnswersToEachNumberOfItsOwnLifeOnly(t *testing.T) {
	is := is.New(t)
	own := &incarnations{}
	own.add(7)
	own.learn("self", []protocol.Member{{ID: "other", Incarnation: 8}, {ID: "self", Incarnation: 9}})
	is.True(own.include("7"))
	is.True(!own.include("8")) // an earlier life may have gone by it
	is.True(own.include("9"))
	is.True(!own.include("-1"))
	is.True(!own.include("nine"))
}
