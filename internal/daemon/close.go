package daemon

import (
	"context"
	"time"
)

// gentleClose is how long connections may take to end at the very end of a
// stop, when no call is in flight any more.
const gentleClose = 2 * time.Second

// CloseBound tells how long a server may take to end gently. It is no context
// given to do, because do skips a part's shutdown once its context has ended.
type CloseBound func() time.Duration

// closer is a server that can be ended gently or at once.
type closer interface {
	Shutdown(ctx context.Context) error
	Close() error
}

// closeGently ends a server within the bound, then closes what is left.
func closeGently(server closer, within CloseBound) error {
	ctx, cancel := context.WithTimeout(context.Background(), within())
	defer cancel()
	if server.Shutdown(ctx) == nil {
		return nil
	}
	return server.Close()
}
