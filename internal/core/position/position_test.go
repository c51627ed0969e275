package position

import (
	"testing"

	"github.com/matryer/is"
)

func TestLaterErasFollowEarlierOnes(t *testing.T) {
	check := is.New(t)
	before, restored := Position{Era: 1, Revision: 900}, Position{Era: 2, Revision: 880}
	check.True(before.Before(restored))
	check.True(!restored.Before(before))
	check.Equal(Max(restored, before), restored)
	check.Equal(Max(before, restored), restored)
	check.True(Position{Era: 2, Revision: 7}.Before(restored))
	check.True(!restored.Before(restored))
	check.True(Position{Era: 3}.IsStart())
	check.Equal(restored.String(), "2:880")
}
