package precise

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestSleepIsNeverShort(t *testing.T) {
	is := is.New(t)
	sleeper, err := NewSleeper()
	is.NoErr(err)
	defer sleeper.Close()
	start := time.Now()
	is.True(sleeper.Sleep(2 * time.Millisecond))
	is.True(time.Since(start) >= 2*time.Millisecond)
}

func TestCloseWakes(t *testing.T) {
	is := is.New(t)
	sleeper, err := NewSleeper()
	is.NoErr(err)
	woken := make(chan bool)
	go func() { woken <- sleeper.Sleep(time.Hour) }()
	sleeper.Close()
	is.True(!<-woken)
}
