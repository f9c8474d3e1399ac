package stateserver

import (
	"context"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"bilberryhub/internal/observe"
	"bilberryhub/internal/wire"
	"bilberryhub/internal/wirepb"
)

const (
	// chunkBytes is the size of a snapshot chunk. Small chunks let the messages
	// of other calls on the same session pass between them.
	chunkBytes = 256 << 10
	// maxSnapshotBytes bounds a received snapshot: a million claims with their
	// keys and 64 MB of outcomes stay below it.
	maxSnapshotBytes = 1 << 30
	// snapshotTimeout bounds the transfer of a snapshot. The consensus core sends a
	// snapshot again after ten election timeouts in any case.
	snapshotTimeout = time.Minute
)

// sendSnapshots sends the queued snapshots until ctx ends, each over its own stream,
// so that heartbeats don't wait behind them.
func (p *peer) sendSnapshots(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-p.snapshots:
			if err := p.sendSnapshot(ctx, m); err != nil && ctx.Err() == nil {
				p.t.s.log.Warn("snapshot transfer failed", zap.String("peer", p.id),
					zap.Uint64("index", m.GetSnapshot().GetIndex()), observe.Error(err))
				p.t.s.enqueue(ctx, snapshotUndelivered{to: p.id})
			}
		}
	}
}

// snapshotUndelivered reports to the loop that the transfer of a snapshot failed, so
// that it is sent again.
type snapshotUndelivered struct{ to string }

func (m snapshotUndelivered) handle(l *loop) {
	l.node.ReportSnapshot(m.to, false, l.now())
}

// sendSnapshot sends the snapshot of m and waits until the replica has received it.
func (p *peer) sendSnapshot(ctx context.Context, m *wirepb.RaftMessage) error {
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	st, err := p.t.s.clients.Get(p.address).Open(ctx, raftEnvelope(withoutSnapshotData(m)))
	if err != nil {
		return errors.Trace(err)
	}
	defer st.Close()
	if err := sendChunks(st, m.GetSnapshot()); err != nil {
		return errors.Trace(err)
	}
	_, err = st.Recv()
	return errors.Trace(err)
}

// withoutSnapshotData returns a copy of m without the data of its snapshot.
func withoutSnapshotData(m *wirepb.RaftMessage) *wirepb.RaftMessage {
	s := m.GetSnapshot()
	return &wirepb.RaftMessage{
		Kind: m.GetKind(), From: m.GetFrom(), To: m.GetTo(), Term: m.GetTerm(), Commit: m.GetCommit(), Round: m.GetRound(),
		Snapshot: &wirepb.Snapshot{Index: s.GetIndex(), Term: s.GetTerm(), Membership: s.GetMembership()},
	}
}

// sendChunks sends the data of a snapshot in chunks.
func sendChunks(st *wire.Stream, snap *wirepb.Snapshot) error {
	data := snap.GetData()
	for offset := 0; ; offset += chunkBytes {
		end := min(offset+chunkBytes, len(data))
		chunk := &wirepb.SnapshotChunk{
			Index: snap.GetIndex(), Term: snap.GetTerm(), Offset: uint64(offset),
			Data: data[offset:end], Last: end == len(data),
		}
		if err := st.Send(&wirepb.Envelope{Body: &wirepb.Envelope_SnapshotChunk{SnapshotChunk: chunk}}); err != nil {
			return errors.Annotatef(err, "snapshot at entry %d, offset %d", snap.GetIndex(), offset)
		}
		if chunk.Last {
			return nil
		}
	}
}

// receiveChunks receives the chunks that follow on the stream, and appends their data
// to snap.
func receiveChunks(st *wire.Stream, snap *wirepb.Snapshot) error {
	for {
		env, err := st.Recv()
		if err != nil {
			return errors.Trace(err)
		}
		c := env.GetSnapshotChunk()
		switch {
		case c == nil:
			return errors.Errorf("receive snapshot at entry %d: message is not a chunk", snap.GetIndex())
		case c.GetIndex() != snap.GetIndex() || c.GetTerm() != snap.GetTerm() || c.GetOffset() != uint64(len(snap.Data)):
			return errors.Errorf("receive snapshot at entry %d: unexpected chunk of entry %d at offset %d",
				snap.GetIndex(), c.GetIndex(), c.GetOffset())
		case len(snap.Data)+len(c.GetData()) > maxSnapshotBytes:
			return errors.Errorf("receive snapshot at entry %d: more than %d bytes", snap.GetIndex(), maxSnapshotBytes)
		}
		snap.Data = append(snap.Data, c.GetData()...)
		if c.GetLast() {
			return nil
		}
	}
}
