package wire

import (
	"sync"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"
	"github.com/klauspost/compress/zstd"
	"google.golang.org/protobuf/proto"

	"bilberryhub/internal/wirepb"
)

const (
	// packedVersion is the protocol version from which peers read packed envelopes.
	packedVersion = 3
	// minPackedBytes is the size from which an envelope is packed.
	minPackedBytes = 16 << 10
	// packWindowBytes bounds the memory of one compression. It covers the distance
	// between the two copies of a document in a manifest of some thousand routes.
	packWindowBytes = 1 << 20
)

var (
	bytesBeforePacking = metrics.GetOrCreateCounter(`bilberry_wire_packed_bytes_total{form="plain"}`)
	bytesAfterPacking  = metrics.GetOrCreateCounter(`bilberry_wire_packed_bytes_total{form="packed"}`)
)

var encoder = sync.OnceValues(func() (*zstd.Encoder, error) {
	return zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1),
		zstd.WithWindowSize(packWindowBytes), zstd.WithLowerEncoderMem(true))
})

var decoder = sync.OnceValues(func() (*zstd.Decoder, error) {
	return zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxMessageBytes),
		zstd.WithDecoderLowmem(true))
})

// Prepared is an envelope that may be sent to several peers and is packed once
// for all of them. It is safe for concurrent use; the envelope must not change.
type Prepared struct {
	env    *wirepb.Envelope
	once   sync.Once
	packed *wirepb.Envelope
}

// Prepare returns the envelope for sending.
func Prepare(env *wirepb.Envelope) *Prepared { return &Prepared{env: env} }

// Envelope returns the envelope, which must not be changed.
func (p *Prepared) Envelope() *wirepb.Envelope { return p.env }

// forVersion returns what a peer with a protocol version is sent.
func (p *Prepared) forVersion(version uint32) *wirepb.Envelope {
	if version < packedVersion || proto.Size(p.env) < minPackedBytes {
		return p.env
	}
	p.once.Do(func() { p.packed = pack(p.env) })
	return p.packed
}

// pack returns the packed form of an envelope, or the envelope itself where it
// has none: a peer reads both.
func pack(env *wirepb.Envelope) *wirepb.Envelope {
	enc, err := encoder()
	if err != nil {
		return env
	}
	plain, err := proto.Marshal(env)
	if err != nil {
		// Sending it reports the error.
		return env
	}
	data := enc.EncodeAll(plain, nil)
	bytesBeforePacking.Add(len(plain))
	bytesAfterPacking.Add(len(data))
	return &wirepb.Envelope{Body: &wirepb.Envelope_Packed{Packed: &wirepb.Packed{Zstd: data}}}
}

// unpacked returns the envelope in a packed one, and any other as it is. What
// expands to more than the bound of a message is an error.
func unpacked(env *wirepb.Envelope) (*wirepb.Envelope, error) {
	packed := env.GetPacked()
	if packed == nil {
		return env, nil
	}
	dec, err := decoder()
	if err != nil {
		return nil, errors.Annotate(err, "prepare to unpack")
	}
	plain, err := dec.DecodeAll(packed.GetZstd(), nil)
	if err != nil {
		return nil, errors.Annotate(err, "unpack envelope")
	}
	inner := &wirepb.Envelope{}
	if err := proto.Unmarshal(plain, inner); err != nil {
		return nil, errors.Annotate(err, "decode packed envelope")
	}
	if inner.GetPacked() != nil {
		return nil, errors.New("packed envelope holds another one")
	}
	return inner, nil
}
