package capacity

import (
	"fmt"
	"io"

	"github.com/rotisserie/eris"
)

// Bounds and sizes of the target.
const (
	// NodeBytes is what a node may send a second for control.
	NodeBytes = 18_000.0
	// NodeMicros is the processor time that a node may spend a second for
	// control, in microseconds.
	NodeMicros = 11_000.0

	changesSecond = 12_000.0 / 86_400
	reportsSecond = 0.5 // of each holder to the home of each bucket, at rest
	targetBuckets = 2_100
	fewHolders    = 10
	ringPeers     = 3
	callBytes     = 66 // two digests
	todaysPeers   = 6
	todaysBuckets = 12
)

// Quantities and sizes that sums are worked out from.
const (
	quantityBeatWire     = "one exchange of beats, both directions on the wire, B"
	quantityBeatCost     = "one exchange of beats, both ends, processor us"
	quantityReport       = "report and grant, B"
	quantityAnswer       = "one report answered, codec included, processor us"
	quantityCall         = "one call, both ends, processor us"
	quantityCallWire     = "one call with an empty answer, both directions on the wire, B"
	quantityPublication  = "publication B"
	quantityDecode       = "decode and check, processor us"
	quantityEpoch        = "epoch message B"
	quantityApply        = "apply one change, processor us"
	quantityFingerprints = "comparison B, both ways"
	sizeServices         = "services of 20 servers"
)

type (
	// Sum is what one mechanism costs a node, worked out from lines.
	Sum struct {
		// What names the mechanism and its size.
		What string `json:"what"`
		// Built tells whether the daemons do it so.
		Built bool `json:"built"`
		// Bytes is what the node sends a second.
		Bytes float64 `json:"bytes"`
		// Micros is the processor time a second, in microseconds.
		Micros float64 `json:"micros"`
	}

	// lines finds fitted lines. The first that is missing is kept.
	lines struct {
		results []Result
		missing string
	}
)

// Sums works out from the results of all measures what each mechanism costs a
// node at the target's size, and at today's. It returns an error if a measure
// is missing.
func Sums(results []Result) ([]Sum, error) {
	l := &lines{results: results}
	beats := func(n, rate, heard float64) (bytes, micros float64) {
		return rate * n * l.at("membership", quantityBeatWire, "", heard), rate * n * l.at("membership", quantityBeatCost, "", heard)
	}
	reports := func(rate, holders, servers float64) (bytes, micros float64) {
		size := l.at("home", quantityReport, "", servers)
		framed := l.at("between entries", quantityCallWire, "", size)
		return rate * framed, rate * (l.at("home", quantityAnswer, "holders", holders) + l.at("between entries", quantityCall, "", size))
	}
	compared := func(rate, size float64) (bytes, micros float64) {
		return rate * l.at("between entries", quantityCallWire, "", size), rate * l.at("between entries", quantityCall, "", size)
	}
	sum := func(what string, built bool) func(bytes, micros float64) Sum {
		return func(bytes, micros float64) Sum { return Sum{What: what, Built: built, Bytes: bytes, Micros: micros} }
	}
	buckets := func(holders float64) float64 { return reportsSecond * targetBuckets * holders / targetNodes }
	out := []Sum{
		sum("beats twice a second to all 165 of a zone", true)(beats(zonePeers, 2, zonePeers)),
		sum("beats once a second to 3 neighbours on a ring", false)(beats(ringPeers, 1, 2*ringPeers)),
		sum("whole publications, received", true)(l.publications()),
		sum("epochs to 8 children", false)(l.epochs()),
		sum("reports on slots, all of a zone hold a bucket", true)(reports(buckets(zonePeers), zonePeers, bucketServers)),
		sum("reports on slots, 10 holders a bucket", false)(reports(buckets(fewHolders), fewHolders, bucketServers)),
		sum("digests of notices every 2 s", true)(compared(0.5, callBytes)),
		sum("fingerprints every 10 s, 10 of them", true)(compared(0.1, l.at("quarantine", quantityFingerprints, "", 10))),
		sum("today: beats to 6 others", true)(beats(todaysPeers, 2, todaysPeers)),
		sum("today: reports on 12 buckets of 3.5 servers", true)(reports(reportsSecond*todaysBuckets*todaysPeers/(todaysPeers+1.0), todaysPeers+1, 3.5)),
	}
	if l.missing != "" {
		return nil, eris.Errorf("no measure of %s", l.missing)
	}
	return out, nil
}

func (l *lines) publications() (bytes, micros float64) {
	size := l.at("configuration", quantityPublication, sizeServices, targetSites/fileServers)
	decode := l.at("configuration", quantityDecode, sizeServices, targetSites/fileServers)
	return changesSecond * size, changesSecond * (decode + l.at("between entries", quantityCall, "", size))
}

func (l *lines) epochs() (bytes, micros float64) {
	size := l.at("spreading", quantityEpoch, "", 1)
	apply := l.at("spreading", quantityApply, "", targetBlocks)
	return changesSecond * treeFanout * l.at("between entries", quantityCallWire, "", size),
		changesSecond * ((treeFanout+1)*l.at("between entries", quantityCall, "", size) + apply)
}

// at returns the quantity that a measure's line gives for a size. An empty
// name of the size stands for any.
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

// PrintSums writes the sums as a Markdown table, held against the bounds.
func PrintSums(w io.Writer, sums []Sum) {
	fmt.Fprintln(w, "| mechanism | built | B/s sent | of 18 KB/s | processor us/s | of 1.1% |")
	fmt.Fprintln(w, "| --- | --- | --- | --- | --- | --- |")
	for _, s := range sums {
		built := "no"
		if s.Built {
			built = "yes"
		}
		fmt.Fprintf(w, "| %s | %s | %.4g | %.1f%% | %.4g | %.1f%% |\n", s.What, built, s.Bytes, s.Bytes/NodeBytes*100, s.Micros, s.Micros/NodeMicros*100)
	}
}
