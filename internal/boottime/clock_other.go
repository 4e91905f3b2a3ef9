//go:build !linux

package boottime

import "time"

// System returns the runtime's clock, which may stop while the machine is suspended.
func System() Clock { return notBehind(func() Instant { return 0 }, time.Since) }
