package wire

import (
	"context"
	"net"
	"testing"
	"time"

	"go.uber.org/zap"

	"bilberryhub/internal/wirepb"
)

func TestAdmission(t *testing.T) {
	begin := func(a *Admission, n int) (admitted int) {
		for range n {
			if a.Begin() {
				admitted++
			}
		}
		return admitted
	}
	var a Admission
	first := begin(&a, 1000)
	if first < minHandshakes || first > maxHandshakes {
		t.Fatalf("%d of 1,000 handshakes begin at once", first)
	}
	for range first {
		a.End(2*admissionTarget, time.Second)
	}
	if n := begin(&a, 1000); n >= first || n < minHandshakes {
		t.Fatalf("%d handshakes begin after slow ones, %d did before", n, first)
	}
	// However slow all of them are, some are admitted.
	for i := range 100 {
		for a.open > 0 {
			a.End(5*time.Second, time.Duration(i)*time.Minute)
		}
		if n := begin(&a, 1000); n < minHandshakes {
			t.Fatalf("only %d handshakes begin", n)
		}
	}
	for range 10_000 {
		a.End(time.Millisecond, time.Hour)
		a.Begin()
	}
	if n := begin(&a, 1000) + a.open; n < maxHandshakes {
		t.Fatalf("limit %d after fast handshakes", n)
	}
}

// A process to which hundreds of peers connect at once must refuse most of them
// without reading from them, go on with its sessions, and admit its peers of the
// replicated log and later comers.
func TestConnectionsBeyondTheLimitAreRefused(t *testing.T) {
	opts := options(KindState, "s1")
	opts.IsPeer = func(ip string) bool { return ip == "127.0.0.2" }
	server := serve(t, opts, echo)
	client := NewClient(server.Address(), options(KindEntry, "e1"))
	defer client.Close()
	if _, err := client.Call(context.Background(), dumpCall()); err != nil {
		t.Fatal(err)
	}
	before := connectionsRefused.Get()
	var silent []net.Conn
	defer func() {
		for _, c := range silent {
			_ = c.Close()
		}
	}()
	for range 2 * maxHandshakes {
		c, err := net.Dial("tcp", server.Address())
		if err != nil {
			t.Fatal(err)
		}
		silent = append(silent, c)
	}
	refused := NewClient(server.Address(), options(KindEntry, "e2"))
	defer refused.Close()
	start := time.Now()
	if _, err := refused.Call(context.Background(), dumpCall()); err == nil {
		t.Fatal("admitted beyond the limit")
	}
	if took := time.Since(start); took > handshakeTimeout/2 {
		t.Errorf("refused after %s", took)
	}
	if n := connectionsRefused.Get() - before; n < maxHandshakes {
		t.Errorf("%d connections refused", n)
	}
	if _, err := client.Call(context.Background(), dumpCall()); err != nil {
		t.Errorf("open session: %v", err)
	}
	peer := options(KindState, "s2")
	peer.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		return (&net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, 2)}}).DialContext(ctx, network, address)
	}
	replica := NewClient(server.Address(), peer)
	defer replica.Close()
	if _, err := replica.Call(context.Background(), dumpCall()); err != nil {
		t.Errorf("replica: %v", err)
	}
	for _, c := range silent {
		_ = c.Close()
	}
	deadline := time.Now().Add(3 * handshakeTimeout)
	for {
		if _, err := refused.Call(context.Background(), dumpCall()); err == nil {
			break
		} else if time.Now().After(deadline) {
			t.Fatalf("not admitted after the others have gone: %v", err)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// A call that makes the handler panic must not end the process or other calls.
func TestPanicEndsOneCallOnly(t *testing.T) {
	server, err := Serve("127.0.0.1:0", options(KindState, "s1"), func(ctx context.Context, s *Stream, req *wirepb.Envelope) error {
		if req.GetPropose() != nil {
			panic("unexpected message")
		}
		return echo(ctx, s, req)
	}, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	client := NewClient(server.Address(), options(KindEntry, "e1"))
	defer client.Close()
	if _, err := client.Call(context.Background(), &wirepb.Envelope{Body: &wirepb.Envelope_Propose{Propose: &wirepb.Propose{}}}); err == nil {
		t.Error("the call that panicked has succeeded")
	}
	if _, err := client.Call(context.Background(), dumpCall()); err != nil {
		t.Errorf("call after a panic: %v", err)
	}
}
