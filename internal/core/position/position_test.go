package position

import (
	"testing"

	"github.com/matryer/is"
)

func TestLaterErasFollowEarlierOnes(t *testing.T) {
	check := is.New(t)
	beforeRestore, afterRestore := Position{Era: 1, Revision: 900}, Position{Era: 2, Revision: 880}
	check.True(beforeRestore.Before(afterRestore))
	check.True(!afterRestore.Before(beforeRestore))
	check.Equal(Max(afterRestore, beforeRestore), afterRestore)
	check.Equal(Max(beforeRestore, afterRestore), afterRestore)
	check.True(Position{Era: 2, Revision: 7}.Before(afterRestore))
	check.True(!afterRestore.Before(afterRestore))
	check.True(Position{Era: 3}.IsEraStart())
	check.Equal(afterRestore.String(), "2:880")
}
