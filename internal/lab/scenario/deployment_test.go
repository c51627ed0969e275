package scenario

import (
	"testing"

	"github.com/matryer/is"
)

func TestDeploymentsMatchTheirSizes(t *testing.T) {
	is := is.New(t)
	for _, name := range []string{"windhoek", "accra"} {
		deployment, err := ByName(name)
		is.NoErr(err)
		is.Equal(len(deployment.Zones), 4)
		is.Equal(len(deployment.Upstreams()), 12)
		file := deployment.File(nil)
		is.Equal(len(file.Services), 2)
		is.Equal(len(file.Backends), 12)
		is.Equal(len(file.Routes), len(deployment.Kinds()))
	}
	_, err := ByName("walvis")
	is.True(err != nil)
}
