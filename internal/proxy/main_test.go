package proxy

import (
	"testing"

	"go.uber.org/goleak"
)

// TestMain fails the package if goroutines outlive its tests.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}
