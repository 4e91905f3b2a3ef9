package capacity

import (
	"fmt"
	"io"

	"github.com/rotisserie/eris"
)

// Limits and sizes of the target deployment.
const (
	// MaxNodeBytesPerSecond is the limit of control traffic that a node sends.
	MaxNodeBytesPerSecond = 18_000.0
	// MaxNodeMicrosPerSecond is the limit of processor time that a node spends on
	// control traffic, in microseconds per second.
	MaxNodeMicrosPerSecond = 11_000.0

	changesPerSecond = 12_000.0 / 86_400
	reportsPerSecond = 0.5 // from each holder to the home of each bucket, without changes in demand
	targetBuckets    = 2_100
	fewHolders       = 10
	ringPeers        = 3
	digestsBytes     = 66 // a call with two digests
	currentPeers     = 6
	currentBuckets   = 12
)

// Names of the quantities and sizes from which Sums computes the costs.
const (
	quantityHeartbeatWire = "one exchange of beats, both directions on the wire, B"
	quantityHeartbeatCost = "one exchange of beats, both ends, processor us"
	quantityReport        = "report and grant, B"
	quantityAnswer        = "one report answered, codec included, processor us"
	quantityCall          = "one call, both ends, processor us"
	quantityCallWire      = "one call with an empty answer, both directions on the wire, B"
	quantityPublication   = "publication B"
	quantityDecode        = "decode and check, processor us"
	quantityEpoch         = "epoch message B"
	quantityApply         = "apply one change, processor us"
	quantityFingerprints  = "comparison B, both ways"
	sizeServices          = "services of 20 servers"
)

type (
	// Sum is the cost of one mechanism for a node, computed from fitted lines.
	Sum struct {
		// Mechanism is the name of the mechanism, with its size.
		Mechanism string `json:"what"`
		// Implemented reports whether the daemon uses the mechanism. The others
		// are alternatives for comparison.
		Implemented bool `json:"built"`
		// Bytes is the traffic that the node sends, in bytes per second.
		Bytes float64 `json:"bytes"`
		// Micros is the processor time, in microseconds per second.
		Micros float64 `json:"micros"`
	}

	// lines looks up fitted lines and records the first that is missing.
	lines struct {
		results []Result
		missing string
	}
)

// Sums computes the cost of each mechanism for a node from the results of all
// measures, at the size of the target deployment and of current deployments. It
// returns an error if the result of a measure is missing.
func Sums(results []Result) ([]Sum, error) {
	l := &lines{results: results}
	heartbeats := func(n, rate, peers float64) (bytes, micros float64) {
		return rate * n * l.at("membership", quantityHeartbeatWire, "", peers), rate * n * l.at("membership", quantityHeartbeatCost, "", peers)
	}
	reports := func(rate, holders, servers float64) (bytes, micros float64) {
		size := l.at("home", quantityReport, "", servers)
		wire := l.at("between entries", quantityCallWire, "", size)
		return rate * wire, rate * (l.at("home", quantityAnswer, "holders", holders) + l.at("between entries", quantityCall, "", size))
	}
	exchanges := func(rate, size float64) (bytes, micros float64) {
		return rate * l.at("between entries", quantityCallWire, "", size), rate * l.at("between entries", quantityCall, "", size)
	}
	sum := func(mechanism string, implemented bool) func(bytes, micros float64) Sum {
		return func(bytes, micros float64) Sum {
			return Sum{Mechanism: mechanism, Implemented: implemented, Bytes: bytes, Micros: micros}
		}
	}
	reportRate := func(holders float64) float64 { return reportsPerSecond * targetBuckets * holders / targetNodes }
	out := []Sum{
		sum("beats twice a second to all 165 of a zone", true)(heartbeats(zonePeers, 2, zonePeers)),
		sum("beats once a second to 3 neighbours on a ring", false)(heartbeats(ringPeers, 1, 2*ringPeers)),
		sum("whole publications, received", true)(l.publications()),
		sum("epochs to 8 children", false)(l.epochs()),
		sum("reports on slots, all of a zone hold a bucket", true)(reports(reportRate(zonePeers), zonePeers, bucketServers)),
		sum("reports on slots, 10 holders a bucket", false)(reports(reportRate(fewHolders), fewHolders, bucketServers)),
		sum("digests of notices every 2 s", true)(exchanges(0.5, digestsBytes)),
		sum("fingerprints every 10 s, 10 of them", true)(exchanges(0.1, l.at("quarantine", quantityFingerprints, "", 10))),
		sum("today: beats to 6 others", true)(heartbeats(currentPeers, 2, currentPeers)),
		sum("today: reports on 12 buckets of 3.5 servers", true)(reports(reportsPerSecond*currentBuckets*currentPeers/(currentPeers+1.0), currentPeers+1, 3.5)),
	}
	if l.missing != "" {
		return nil, eris.Errorf("no result of measure %s", l.missing)
	}
	return out, nil
}

func (l *lines) publications() (bytes, micros float64) {
	size := l.at("configuration", quantityPublication, sizeServices, targetSites/fileServers)
	decode := l.at("configuration", quantityDecode, sizeServices, targetSites/fileServers)
	return changesPerSecond * size, changesPerSecond * (decode + l.at("between entries", quantityCall, "", size))
}

func (l *lines) epochs() (bytes, micros float64) {
	size := l.at("spreading", quantityEpoch, "", 1)
	apply := l.at("spreading", quantityApply, "", targetBlocks)
	return changesPerSecond * treeFanout * l.at("between entries", quantityCallWire, "", size),
		changesPerSecond * ((treeFanout+1)*l.at("between entries", quantityCall, "", size) + apply)
}

// at returns the quantity that the line of a measure predicts for a size. An empty
// name of the size matches any.
func (l *lines) at(role, quantity, size string, x float64) float64 {
	for i := range l.results {
		r := &l.results[i]
		if r.Role == role && r.Quantity == quantity && (size == "" || r.Size == size) {
			return r.Line.At(x)
		}
	}
	if l.missing == "" {
		l.missing = role + ": " + quantity
	}
	return 0
}

// PrintSums writes the sums as a Markdown table, with their percentages of the
// limits.
func PrintSums(w io.Writer, sums []Sum) {
	fmt.Fprintln(w, "| mechanism | built | B/s sent | of 18 KB/s | processor us/s | of 1.1% |")
	fmt.Fprintln(w, "| --- | --- | --- | --- | --- | --- |")
	for _, s := range sums {
		implemented := "no"
		if s.Implemented {
			implemented = "yes"
		}
		fmt.Fprintf(w, "| %s | %s | %.4g | %.1f%% | %.4g | %.1f%% |\n", s.Mechanism, implemented, s.Bytes, s.Bytes/MaxNodeBytesPerSecond*100, s.Micros, s.Micros/MaxNodeMicrosPerSecond*100)
	}
}
