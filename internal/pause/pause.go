// Package pause waits within a context.
package pause

import (
	"context"
	"time"
)

// For waits for a time, and tells whether it passed before the context ended.
// A time of 0 or less does not wait.
func For(ctx context.Context, wait time.Duration) bool {
	if wait <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
