package launch

import (
	"testing"

	"github.com/matryer/is"
)

// awaitHandlers relies on the name of a function in go-zero, which may change
// with a new version of go-zero.
func TestAwaitHandlersFindsTheGoroutine(t *testing.T) {
	is := is.New(t)
	awaitHandlers()
	waits, found := goroutineWaits(handlerFrame)
	is.True(found)
	is.True(waits)
	_, found = goroutineWaits("no such frame")
	is.True(!found)
}
