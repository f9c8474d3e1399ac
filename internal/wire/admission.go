package wire

import (
	"encoding/binary"
	"net"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
)

const (
	// admissionTarget is the duration of a handshake from which on the process
	// counts as out of processor time: a handshake takes a few ms of it.
	admissionTarget = 400 * time.Millisecond
	// minHandshakes and maxHandshakes bound the number of handshakes at a time.
	minHandshakes = 4
	maxHandshakes = 64
	// refusalLogInterval is the shortest time between two log lines about refused
	// connections.
	refusalLogInterval = time.Second
)

var connectionsRefused = metrics.GetOrCreateCounter(`bilberry_wire_connections_refused_total`)

// Admission limits the number of handshakes at a time. The limit follows the processor
// time that the process gets: it grows slowly while handshakes are fast, and halves
// when one is slow. Work that goes on, such as consensus and open subscriptions, then
// keeps its share of the processor however many peers connect at once. The zero value
// is ready for use. It is not safe for concurrent use.
type Admission struct {
	limit float64
	// open is the number of handshakes in progress.
	open int
	// reducedAt is when the limit was last halved.
	reducedAt time.Duration
}

// Begin reports whether another handshake may begin.
func (a *Admission) Begin() bool {
	if a.limit == 0 {
		a.limit = maxHandshakes / 4
	}
	if float64(a.open) >= a.limit {
		return false
	}
	a.open++
	return true
}

// End records the end of a handshake that took the given time. now is any steady clock.
func (a *Admission) End(took, now time.Duration) {
	a.open--
	switch {
	case took < admissionTarget:
		a.limit = min(maxHandshakes, a.limit+1/a.limit)
	case now-a.reducedAt >= took:
		// Handshakes that were in progress at the last reduction say nothing about
		// the lower limit.
		a.limit, a.reducedAt = max(minHandshakes, a.limit/2), now
	}
}

// gate applies an Admission to the connections of a server.
type gate struct {
	mu        sync.Mutex
	admission Admission
	started   time.Time
	// refused is the number of connections refused since the last log line, at
	// loggedAt.
	refused  int
	loggedAt time.Time
}

// begin reports whether the handshake of a new connection may begin.
func (g *gate) begin() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.admission.Begin()
}

// end records the end of a handshake that began at the given time.
func (g *gate) end(began time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.admission.End(time.Since(began), time.Since(g.started))
}

// refuse ends a connection without any work: it sends the frame by which a session
// states that it accepts no streams, and closes.
func (g *gate) refuse(conn net.Conn, log *zap.Logger) {
	connectionsRefused.Inc()
	_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, _ = conn.Write(goAway())
	_ = conn.Close()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.refused++
	if time.Since(g.loggedAt) < refusalLogInterval {
		return
	}
	log.Warn("connections refused: too many handshakes at a time", zap.Int("connections", g.refused),
		zap.Int("handshakes", g.admission.open), zap.String("last_peer", conn.RemoteAddr().String()))
	g.refused, g.loggedAt = 0, time.Now()
}

// goAway returns the yamux frame that refuses new streams: version, type, flags,
// stream and code.
func goAway() []byte {
	const frameType, headerBytes = 3, 12
	frame := make([]byte, headerBytes)
	frame[1] = frameType
	binary.BigEndian.PutUint32(frame[8:], 0)
	return frame
}
