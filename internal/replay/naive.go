package replay

import "slices"

// naive sends every request at once, choosing a server by what its entry
// alone knows.
type naive struct {
	run    *run
	choose func(n *naive, entry int) int
	// flight counts the requests under way by entry and server.
	flight [][]int
	turn   []int
}

func (n *naive) start(r *run) {
	n.run = r
	n.turn = make([]int, len(r.dead))
	for e := range r.dead {
		n.flight = append(n.flight, make([]int, len(r.servers)))
		n.turn[e] = r.rng.IntN(len(r.servers))
	}
}

func (n *naive) arrive(j *job) {
	s := n.choose(n, j.Entry)
	n.flight[j.Entry][s]++
	n.run.send(j, s)
}

func (n *naive) done(j *job) { n.flight[j.Entry][j.server]-- }

func (n *naive) lose(int) {}

func chooseRandom(n *naive, _ int) int { return n.run.rng.IntN(len(n.run.servers)) }

func chooseNext(n *naive, entry int) int {
	n.turn[entry] = (n.turn[entry] + 1) % len(n.run.servers)
	return n.turn[entry]
}

func chooseOfTwo(n *naive, entry int) int {
	a, b := chooseRandom(n, entry), chooseRandom(n, entry)
	if n.flight[entry][b] < n.flight[entry][a] {
		return b
	}
	return a
}

func chooseLeast(n *naive, entry int) int {
	least := slices.Min(n.flight[entry])
	var ties []int
	for s, f := range n.flight[entry] {
		if f == least {
			ties = append(ties, s)
		}
	}
	return ties[n.run.rng.IntN(len(ties))]
}
