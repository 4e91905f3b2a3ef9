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

const comparisons = 50

// news returns the measures of what entries keep and compare about backend
// servers and requests: drain notices and fingerprints.
func news() []Measure {
	sizes := []int{10, 20, 40, 80, 160, 320}
	return []Measure{
		{
			Role: "notices", Quantity: "exchange of differing boards, both ways, B", Size: "notices", Sizes: sizes, Target: targetSites,
			Run: func(n int) (float64, error) {
				data, err := json.Marshal(noticeBoard(n).All())
				return 2 * float64(len(data)), err
			},
		},
		{
			Role: "notices", Quantity: "one end of an exchange of differing boards, processor us", Size: "notices", Sizes: sizes, Target: targetSites,
			Run: compareNotices,
		},
		{
			Role: "notices", Quantity: "digest for a comparison, processor us", Size: "notices", Sizes: []int{100, 200, 400, 800, 1600}, Target: targetSites,
			Run: func(n int) (float64, error) {
				board := noticeBoard(n)
				return processorMicros(comparisons, func(int) { _ = board.Digest() })
			},
		},
		{
			Role: "notices", Quantity: "board heap B", Size: "notices", Sizes: sizes, Target: targetSites,
			Run: func(n int) (float64, error) { return heapBytes(func() any { return noticeBoard(n) }), nil },
		},
		{
			Role: "quarantine", Quantity: quantityFingerprints, Size: "fingerprints", Sizes: sizes, Target: 1000,
			Run: func(n int) (float64, error) {
				data, err := json.Marshal(quarantined(n).News(time.Now(), n))
				return 2 * float64(len(data)), err
			},
		},
		{
			Role: "quarantine", Quantity: "one end of a comparison, processor us", Size: "fingerprints", Sizes: sizes, Target: 1000,
			Run: compareFingerprints,
		},
		{
			Role: "quarantine", Quantity: "list heap B", Size: "fingerprints", Sizes: []int{1000, 2000, 4000, 8000, 10000}, Target: 10_000,
			Run: func(n int) (float64, error) { return heapBytes(func() any { return quarantined(n) }), nil },
		},
	}
}

func compareNotices(n int) (float64, error) {
	board := noticeBoard(n)
	var failed error
	cost, err := processorMicros(comparisons, func(int) {
		data, err := json.Marshal(board.All())
		if err != nil {
			failed = err
		}
		var heard []notices.Notice
		if err := json.Unmarshal(data, &heard); err != nil {
			failed = err
		}
		board.Merge(heard)
	})
	if failed != nil {
		return 0, failed
	}
	return cost, err
}

func noticeBoard(n int) *notices.Board {
	b := new(notices.Board)
	now := time.Unix(1_796_000_000, 123_456_789).UTC()
	for i := range n {
		b.Set(notices.Key{Service: "registry", Server: id.Server("registry-" + strconv.Itoa(i))}, true, now, "entry-3")
	}
	return b
}

func compareFingerprints(n int) (float64, error) {
	list := quarantined(n)
	var failed error
	cost, err := processorMicros(comparisons, func(int) {
		now := time.Now()
		data, err := json.Marshal(list.News(now, n))
		if err != nil {
			failed = err
		}
		var heard []quarantine.Sighting
		if err := json.Unmarshal(data, &heard); err != nil {
			failed = err
		}
		for _, s := range heard {
			list.Learn(now, s)
		}
	})
	if failed != nil {
		return 0, failed
	}
	return cost, err
}

func quarantined(n int) *quarantine.List {
	l := &quarantine.List{Instance: "entry-3"}
	now := time.Now()
	for i := range n {
		var fp quarantine.Fingerprint
		binary.BigEndian.PutUint32(fp[:], uint32(i))
		l.Sight(now, fp, quarantine.Origin{Service: "registry", Class: "issue", Send: "entry-3-1796000000-" + strconv.Itoa(i), Began: now})
	}
	return l
}
