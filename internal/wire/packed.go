package wire

import (
	"bytes"
	"sync"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"
	"github.com/klauspost/compress/zstd"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"bilberryhub/internal/wirepb"
)

const (
	// minPackedVersion is the lowest protocol version that supports packed
	// envelopes.
	minPackedVersion = 3
	// minPackedBytes is the smallest envelope that is packed.
	minPackedBytes = 16 << 10
	// packWindowBytes bounds the memory of one compression. A window of this size
	// spans the distance between the two copies of a document in a manifest of a
	// few thousand routes.
	packWindowBytes = 1 << 20
)

var (
	bytesBeforePacking = metrics.GetOrCreateCounter(`bilberry_wire_packed_bytes_total{form="plain"}`)
	bytesAfterPacking  = metrics.GetOrCreateCounter(`bilberry_wire_packed_bytes_total{form="packed"}`)
)

// encoder returns the compressor that all envelopes share.
var encoder = sync.OnceValues(func() (*zstd.Encoder, error) {
	return zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1),
		zstd.WithWindowSize(packWindowBytes), zstd.WithLowerEncoderMem(true))
})

// decoder returns the decompressor that all envelopes share.
var decoder = sync.OnceValues(func() (*zstd.Decoder, error) {
	return zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxMessageBytes),
		zstd.WithDecoderLowmem(true))
})

// Prepared is an envelope that may be sent to several peers and is encoded and
// compressed at most once for all of them. It is safe for concurrent use; the envelope
// must not change.
type Prepared struct {
	env           *wirepb.Envelope
	plain, packed encodedOnce
}

// encodedOnce is a form of an envelope as it is written to a stream.
type encodedOnce struct {
	once sync.Once
	data []byte
	err  error
}

// get returns the encoded form, which form returns as an envelope at the first call.
func (e *encodedOnce) get(form func() *wirepb.Envelope) ([]byte, error) {
	e.once.Do(func() {
		var b bytes.Buffer
		if _, err := protodelim.MarshalTo(&b, form()); err != nil {
			e.err = &EncodeError{err}
			return
		}
		e.data = b.Bytes()
	})
	return e.data, e.err
}

// Prepare returns env for sending with Stream.SendPrepared.
func Prepare(env *wirepb.Envelope) *Prepared { return &Prepared{env: env} }

// Envelope returns the envelope, which must not be changed.
func (p *Prepared) Envelope() *wirepb.Envelope { return p.env }

// Err returns an *EncodeError if the envelope can't be encoded, or nil.
func (p *Prepared) Err() error {
	_, err := p.plain.get(p.Envelope)
	return err
}

// encoded returns the envelope as it is sent to peers with a protocol version.
func (p *Prepared) encoded(version uint32) ([]byte, error) {
	plain, err := p.plain.get(p.Envelope)
	if err != nil || version < minPackedVersion || len(plain) < minPackedBytes {
		return plain, err
	}
	return p.packed.get(func() *wirepb.Envelope { return pack(p.env) })
}

// pack returns the compressed form of an envelope, or the envelope itself if it
// cannot be compressed: peers read both.
func pack(env *wirepb.Envelope) *wirepb.Envelope {
	enc, err := encoder()
	if err != nil {
		return env
	}
	plain, err := proto.Marshal(env)
	if err != nil {
		// The caller gets the error when it sends the envelope.
		return env
	}
	data := enc.EncodeAll(plain, nil)
	bytesBeforePacking.Add(len(plain))
	bytesAfterPacking.Add(len(data))
	return &wirepb.Envelope{Body: &wirepb.Envelope_Packed{Packed: &wirepb.Packed{Zstd: data}}}
}

// unpack returns the envelope inside a packed one, and any other envelope as it
// is. Content that decompresses to more than maxMessageBytes is an error.
func unpack(env *wirepb.Envelope) (*wirepb.Envelope, error) {
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
