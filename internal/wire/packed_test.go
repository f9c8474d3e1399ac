package wire

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync/atomic"
	"testing"

	"google.golang.org/protobuf/proto"

	"bilberryhub/internal/wirepb"
)

// countingConn counts the bytes that are received on a connection.
type countingConn struct {
	net.Conn
	received *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.received.Add(int64(n))
	return n, err
}

// configuration returns a configuration with routes whose names are random, like
// those that users give.
func configuration(routes int) *wirepb.Envelope {
	rng := rand.New(rand.NewPCG(1, 2))
	var routing, source strings.Builder
	for range routes {
		name, path := rng.Uint64N(1<<40), rng.Uint64N(1<<40)
		fmt.Fprintf(&routing, `{"name":"r-%x","host":"h.example","path_prefix":"/%x/","repeat":"stream","timeout_ms":10000,`+
			`"objective_ms":300,"pause_ms":250,"priority":1,"targets":[{"service":"huvo11a","weight":90}],"resumable":true},`, name, path)
		fmt.Fprintf(&source, `{\"name\":\"r-%x\",\"host\":\"h.example\",\"path-prefix\":\"/%x/\",\"kind\":\"streaming\",`+
			`\"timeout-ms\":10000,\"target-latency-ms\":300,\"priority\":1,\"service\":\"huvo11a\",\"stream-resume\":true},`, name, path)
	}
	return &wirepb.Envelope{Body: &wirepb.Envelope_ConfigSnapshot{ConfigSnapshot: &wirepb.ConfigSnapshot{
		Index: 1, Manifest: []byte(routing.String() + source.String()),
	}}}
}

const (
	// At the design size, one control process may have to distribute a
	// configuration to 380 gateways over 170 Mbit/s within 2.5 s.
	distributionBytes = 170_000_000 / 8 * 5 / 2
	gateways          = 380
)

// TestLargeMessagesArePacked guards against configurations that saturate the links
// of control processes and gateways, which would delay heartbeats and responses to
// callers.
func TestLargeMessagesArePacked(t *testing.T) {
	env := configuration(1840)
	for _, tc := range []struct {
		name    string
		version uint32
		bound   int64
	}{
		{"this version", HighestVersion, distributionBytes / gateways},
		{"a peer of before", minPackedVersion - 1, int64(2 * proto.Size(env))},
	} {
		t.Run(tc.name, func(t *testing.T) {
			prepared := Prepare(env)
			server := serve(t, options(KindState, "s"), func(_ context.Context, s *Stream, _ *wirepb.Envelope) error {
				return s.SendPrepared(prepared)
			})
			var received atomic.Int64
			opts := options(KindEntry, "e")
			opts.HighestVersion = tc.version
			opts.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
				conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
				return countingConn{conn, &received}, err
			}
			client := NewClient(server.Address(), opts)
			defer client.Close()
			got, err := client.Call(t.Context(), dumpCall())
			if err != nil {
				t.Fatal(err)
			}
			if !proto.Equal(got, env) {
				t.Fatal("another message arrived")
			}
			if n := received.Load(); n > tc.bound {
				t.Fatalf("%d bytes for a message of %d, allowed are %d", n, proto.Size(env), tc.bound)
			}
		})
	}
}

// TestInvalidPackedMessages guards against packed messages that decompress to more
// than the size limit of a message, and against corrupt ones.
func TestInvalidPackedMessages(t *testing.T) {
	enc, err := encoder()
	if err != nil {
		t.Fatal(err)
	}
	nested, err := proto.Marshal(pack(dumpCall()))
	if err != nil {
		t.Fatal(err)
	}
	for name, data := range map[string][]byte{
		"not a frame":           []byte("bytes"),
		"cut short":             pack(configuration(100)).GetPacked().GetZstd()[:200],
		"above the bound":       enc.EncodeAll(make([]byte, maxMessageBytes+1), nil),
		"no envelope":           enc.EncodeAll([]byte("no envelope"), nil),
		"another packed inside": enc.EncodeAll(nested, nil),
	} {
		env := &wirepb.Envelope{Body: &wirepb.Envelope_Packed{Packed: &wirepb.Packed{Zstd: data}}}
		if got, err := unpack(env); err == nil {
			t.Errorf("%s: read as %T", name, got.GetBody())
		}
	}
}

func BenchmarkPack(b *testing.B) {
	env := configuration(1840)
	packed := pack(env)
	b.Run("pack", func(b *testing.B) {
		for b.Loop() {
			pack(env)
		}
	})
	b.Run("unpack", func(b *testing.B) {
		for b.Loop() {
			if _, err := unpack(packed); err != nil {
				b.Fatal(err)
			}
		}
	})
}
