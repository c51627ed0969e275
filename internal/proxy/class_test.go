package proxy

import (
	"testing"

	"github.com/matryer/is"

	"github.com/springstack/springstack/internal/core/callclass"
)

func TestInvalidClassIsParsedAsZero(t *testing.T) {
	check := is.New(t)
	check.Equal(parseClass("511"), callclass.Class(511))
	for _, text := range []string{"", " ", "x", "-1", "512", "99999999999999999999"} {
		check.Equal(parseClass(text), callclass.Class(0))
	}
}
