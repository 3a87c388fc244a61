package announcer

import (
	"encoding/binary"
	"hash/fnv"
	"math"

	"github.com/juju/errors"
)

// ID identifies a member by the hash of its name, of idBits bits. Among 1,000
// members, two with the same ID are less likely than one in 10^8.
type ID uint64

const idBits = 48

// IDOf returns the ID of a name.
func IDOf(name string) ID {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	return ID(h.Sum64() >> (64 - idBits))
}

// Heartbeat is the most recent heartbeat of one member.
type Heartbeat struct {
	ID ID
	// Epoch is that of the member's process.
	Epoch int64
	// Sequence is incremented with each heartbeat of the member.
	Sequence uint32
	Draining bool
	// Ready reports whether the member serves callers, and Load is the rate of
	// requests a second that it receives, at least 0.
	Ready bool
	Load  float64
}

// olderThan reports whether h is older than other.
func (h Heartbeat) olderThan(other Heartbeat) bool {
	if h.Epoch != other.Epoch {
		return h.Epoch < other.Epoch
	}
	return h.Sequence < other.Sequence
}

// heartbeatSize is the size in bytes of an encoded heartbeat. Most of the traffic
// between entries is heartbeats, so they have a fixed binary layout: ID, epoch,
// sequence, load in requests a second and flags, in little-endian order.
const heartbeatSize = idBits/8 + 8 + 4 + 2 + 1

// Flags of an encoded heartbeat.
const (
	flagDraining = 1 << iota
	flagReady
)

// appendHeartbeat appends the encoded heartbeat to dst. Its load is rounded, and
// limited to what two bytes hold.
func appendHeartbeat(dst []byte, h Heartbeat) []byte {
	flags := byte(0)
	if h.Draining {
		flags |= flagDraining
	}
	if h.Ready {
		flags |= flagReady
	}
	dst = binary.LittleEndian.AppendUint64(dst, uint64(h.ID))[:len(dst)+idBits/8]
	dst = binary.LittleEndian.AppendUint64(dst, uint64(h.Epoch))
	dst = binary.LittleEndian.AppendUint32(dst, h.Sequence)
	dst = binary.LittleEndian.AppendUint16(dst, uint16(min(math.Round(max(h.Load, 0)), math.MaxUint16)))
	return append(dst, flags)
}

// decodeHeartbeats decodes a sequence of encoded heartbeats.
func decodeHeartbeats(data []byte) ([]Heartbeat, error) {
	if len(data)%heartbeatSize != 0 || len(data) > maxHeartbeats*heartbeatSize {
		return nil, errors.Annotatef(ErrMalformed, "news: got: %d bytes want: a multiple of %d, at most %d", len(data), heartbeatSize, maxHeartbeats*heartbeatSize)
	}
	out := make([]Heartbeat, 0, len(data)/heartbeatSize)
	for ; len(data) > 0; data = data[heartbeatSize:] {
		rest := data[idBits/8:]
		flags := rest[14]
		out = append(out, Heartbeat{
			ID:    ID(binary.LittleEndian.Uint64(data) & (1<<idBits - 1)),
			Epoch: int64(binary.LittleEndian.Uint64(rest)), Sequence: binary.LittleEndian.Uint32(rest[8:]),
			Load:     float64(binary.LittleEndian.Uint16(rest[12:])),
			Draining: flags&flagDraining != 0, Ready: flags&flagReady != 0,
		})
	}
	return out, nil
}
