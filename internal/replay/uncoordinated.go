package replay

import "slices"

// naive sends every request immediately. Each entry selects servers by its own
// requests in flight only, without coordination.
type naive struct {
	run    *run
	choose func(n *naive, entry int) int
	// inFlight is the number of requests in flight by entry and server.
	inFlight [][]int
	last     []int
}

func (n *naive) start(r *run) {
	n.run = r
	n.last = make([]int, len(r.failed))
	for e := range r.failed {
		n.inFlight = append(n.inFlight, make([]int, len(r.servers)))
		n.last[e] = r.rng.IntN(len(r.servers))
	}
}

func (n *naive) arrive(j *job) {
	s := n.choose(n, j.Entry)
	n.inFlight[j.Entry][s]++
	n.run.send(j, s)
}

func (n *naive) completed(j *job) { n.inFlight[j.Entry][j.server]-- }

func (n *naive) entryFailed(int) {}

func chooseRandom(n *naive, _ int) int { return n.run.rng.IntN(len(n.run.servers)) }

func chooseNext(n *naive, entry int) int {
	n.last[entry] = (n.last[entry] + 1) % len(n.run.servers)
	return n.last[entry]
}

func chooseOfTwo(n *naive, entry int) int {
	a, b := chooseRandom(n, entry), chooseRandom(n, entry)
	if n.inFlight[entry][b] < n.inFlight[entry][a] {
		return b
	}
	return a
}

func chooseLeast(n *naive, entry int) int {
	least := slices.Min(n.inFlight[entry])
	var ties []int
	for s, f := range n.inFlight[entry] {
		if f == least {
			ties = append(ties, s)
		}
	}
	return ties[n.run.rng.IntN(len(ties))]
}
