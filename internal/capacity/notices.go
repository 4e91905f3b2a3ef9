package capacity

import (
	"encoding/binary"
	"encoding/json"
	"strconv"
	"time"

	"github.com/shallotpier/shallotpier/internal/notices"
	"github.com/shallotpier/shallotpier/internal/quarantine"
	"github.com/shallotpier/shallotpier/pkg/id"
)

const measuredComparisons = 50

// noticeMeasures returns the measures of drain notices and of request fingerprints,
// which entries store and compare with each other.
func noticeMeasures() []Measure {
	sizes := []int{10, 20, 40, 80, 160, 320}
	return []Measure{
		{
			Role: "notices", Quantity: "exchange of differing boards, both ways, B", Size: "notices", Sizes: sizes, Target: targetSites,
			Run: func(n int) (float64, error) {
				data, err := json.Marshal(newNoticeTable(n).All())
				return 2 * float64(len(data)), err
			},
		},
		{
			Role: "notices", Quantity: "one end of an exchange of differing boards, processor us", Size: "notices", Sizes: sizes, Target: targetSites,
			Run: noticesCost,
		},
		{
			Role: "notices", Quantity: "digest for a comparison, processor us", Size: "notices", Sizes: []int{100, 200, 400, 800, 1600}, Target: targetSites,
			Run: func(n int) (float64, error) {
				table := newNoticeTable(n)
				return processorMicros(measuredComparisons, func(int) { _ = table.Digest() })
			},
		},
		{
			Role: "notices", Quantity: "board heap B", Size: "notices", Sizes: sizes, Target: targetSites,
			Run: func(n int) (float64, error) { return heapBytes(func() any { return newNoticeTable(n) }), nil },
		},
		{
			Role: "quarantine", Quantity: quantityFingerprints, Size: "fingerprints", Sizes: sizes, Target: 1000,
			Run: func(n int) (float64, error) {
				data, err := json.Marshal(newQuarantine(n).Reports(time.Now(), n))
				return 2 * float64(len(data)), err
			},
		},
		{
			Role: "quarantine", Quantity: "one end of a comparison, processor us", Size: "fingerprints", Sizes: sizes, Target: 1000,
			Run: fingerprintsCost,
		},
		{
			Role: "quarantine", Quantity: "list heap B", Size: "fingerprints", Sizes: []int{1000, 2000, 4000, 8000, 10000}, Target: 10_000,
			Run: func(n int) (float64, error) { return heapBytes(func() any { return newQuarantine(n) }), nil },
		},
	}
}

func noticesCost(n int) (float64, error) {
	table := newNoticeTable(n)
	var failed error
	cost, err := processorMicros(measuredComparisons, func(int) {
		data, err := json.Marshal(table.All())
		if err != nil {
			failed = err
		}
		var received []notices.Notice
		if err := json.Unmarshal(data, &received); err != nil {
			failed = err
		}
		table.Merge(received)
	})
	if failed != nil {
		return 0, failed
	}
	return cost, err
}

func newNoticeTable(n int) *notices.Table {
	b := new(notices.Table)
	now := time.Unix(1_796_000_000, 123_456_789).UTC()
	for i := range n {
		b.Set(notices.Key{Service: "registry", Server: id.Server("registry-" + strconv.Itoa(i))}, true, now, "entry-3")
	}
	return b
}

func fingerprintsCost(n int) (float64, error) {
	list := newQuarantine(n)
	var failed error
	cost, err := processorMicros(measuredComparisons, func(int) {
		now := time.Now()
		data, err := json.Marshal(list.Reports(now, n))
		if err != nil {
			failed = err
		}
		var received []quarantine.CrashReport
		if err := json.Unmarshal(data, &received); err != nil {
			failed = err
		}
		for _, s := range received {
			list.Apply(now, s)
		}
	})
	if failed != nil {
		return 0, failed
	}
	return cost, err
}

func newQuarantine(n int) *quarantine.List {
	l := &quarantine.List{Instance: "entry-3"}
	now := time.Now()
	for i := range n {
		var fp quarantine.Fingerprint
		binary.BigEndian.PutUint32(fp[:], uint32(i))
		l.RecordCrash(now, fp, quarantine.Origin{Service: "registry", Class: "issue", Send: "entry-3-1796000000-" + strconv.Itoa(i), Began: now})
	}
	return l
}
