package boottime

// NotBehind returns a clock of a boot clock and of the runtime's.
var NotBehind = notBehind
