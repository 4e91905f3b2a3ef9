package launch

import (
	"testing"

	"github.com/matryer/is"
)

// The wait for go-zero's handlers rests on the name of a goroutine of its; a
// new version of it may need another one.
func TestAwaitHandlersFindsTheGoroutine(t *testing.T) {
	is := is.New(t)
	awaitHandlers()
	waits, found := goroutineWaits(handlerFrame)
	is.True(found)
	is.True(waits)
	_, found = goroutineWaits("no such frame")
	is.True(!found)
}
