// Package platform is the narrow port to the platform's object API and
// machine list, and its HTTP adapter. Everything behind it can be replaced by
// another object API by writing one Port.
package platform

import (
	"context"

	"github.com/springstack/springstack/internal/core/object"
)

// Port is all that springstack needs of a platform.
type Port interface {
	// Do carries out one call. Failures are codes in the reply: when the answer
	// was lost after the request left, the code is PlatformUnknown.
	Do(ctx context.Context, call object.Call) object.Reply
	// Watch delivers changes of objects under prefix after version from, until
	// ctx ends or the watch breaks. It returns a 5xx reply code that says why it
	// ended: PlatformCompacted when from is too old and a new list is needed.
	Watch(ctx context.Context, prefix string, from object.Version, deliver func(object.Event)) object.Reply
}
