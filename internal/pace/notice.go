package pace

import (
	"encoding/binary"
	"math"
)

// Sizes of the parts of notices.
const (
	// HeaderSize is the size of a group's header: what identifies the list of servers in 16
	// bits, the index of the first server in 15 bits with a bit that is set for readings,
	// and the number of values.
	HeaderSize = 5
	// ReadingSize is the size of a reading: the index of its server in 16 bits, and a value.
	ReadingSize = 3
	// MeanSize is the size of a mean, which is a value.
	MeanSize = 1

	// MaxServers is the maximum number of servers of a service that notices can tell of.
	MaxServers = readings

	readings  = 1 << 15
	maxValues = math.MaxUint8
)

const (
	// A value has levels of pace on a logarithmic scale from Least to Greatest in its lower
	// bits, and the binary logarithm of the number of readings in the upper ones.
	levels    = 32
	countBits = 8
)

// Notice is what an entry tells others about one server.
type Notice struct {
	// Index is the index of the server in the list of its service's servers by name, below
	// MaxServers.
	Index int
	// Pace is a reading or a mean of them.
	Pace float64
	// Count is the number of readings of a mean.
	Count float64
}

// AppendReadings appends a group of readings. The list identifies the list of servers.
func AppendReadings(out []byte, list uint16, all []Notice) []byte {
	all = all[:min(len(all), maxValues)]
	out = binary.BigEndian.AppendUint16(out, list)
	out = binary.BigEndian.AppendUint16(out, readings)
	out = append(out, byte(len(all)))
	for _, n := range all {
		out = binary.BigEndian.AppendUint16(out, uint16(n.Index)) //nolint:gosec // is below MaxServers
		out = append(out, encodeValue(n))
	}
	return out
}

// AppendMeans appends a group of means of successive servers.
func AppendMeans(out []byte, list uint16, all []Notice) []byte {
	all = all[:min(len(all), maxValues)]
	if len(all) == 0 {
		return out
	}
	out = binary.BigEndian.AppendUint16(out, list)
	out = binary.BigEndian.AppendUint16(out, uint16(all[0].Index)) //nolint:gosec // is below MaxServers
	out = append(out, byte(len(all)))
	for _, n := range all {
		out = append(out, encodeValue(n))
	}
	return out
}

// ReadNotices calls apply for each notice. It ignores a rest that is malformed.
func ReadNotices(data []byte, apply func(list uint16, mean bool, n Notice)) {
	for len(data) >= HeaderSize {
		list, first, count := binary.BigEndian.Uint16(data), int(binary.BigEndian.Uint16(data[2:])), int(data[4])
		data = data[HeaderSize:]
		size := MeanSize
		if first&readings != 0 {
			size = ReadingSize
		}
		if len(data) < count*size {
			return
		}
		for i := range count {
			if size == MeanSize {
				apply(list, true, decodeValue(first+i, data[i]))
			} else {
				apply(list, false, decodeValue(int(binary.BigEndian.Uint16(data[i*size:])), data[i*size+2]))
			}
		}
		data = data[count*size:]
	}
}

func encodeValue(n Notice) byte {
	level := math.Round(math.Log(min(max(n.Pace, Least), Greatest)/Least) / math.Log(Greatest/Least) * (levels - 1))
	count := min(max(math.Floor(math.Log2(max(n.Count, 1))), 0), countBits-1)
	return byte(level) | byte(count)*levels
}

func decodeValue(index int, value byte) Notice {
	level := float64(value % levels)
	return Notice{
		Index: index, Pace: Least * math.Pow(Greatest/Least, level/(levels-1)), Count: math.Exp2(float64(value / levels)),
	}
}
