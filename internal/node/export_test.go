package node

import "github.com/shallotpier/shallotpier/internal/forward"

// RetryLimits returns this entry's share of the retry limits.
func (n *Node) RetryLimits() forward.RetryLimits { return n.retryLimits() }
