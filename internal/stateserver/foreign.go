package stateserver

import (
	"go.uber.org/zap"

	"bilberryhub/internal/wirepb"
)

// maxForeignLines limits the log lines a second about messages of another cluster.
const maxForeignLines = 1

// bindCluster binds this replica to the cluster of its membership.
func (l *loop) bindCluster(m *wirepb.Membership) {
	if id := m.GetCluster(); id != "" {
		l.cluster = id
		l.s.cluster.Store(&id)
	}
}

// isForeign reports whether id is that of a cluster to which this replica doesn't belong. A
// cluster that was formed by a version without ids has none, and neither have the messages of
// such a version.
func (l *loop) isForeign(id string) bool { return id != "" && l.cluster != "" && id != l.cluster }

// admits reports whether a message of the consensus core may be handled. A replica without state
// that two clusters have added is bound to the one whose message arrives first: otherwise entries
// of one could follow those of the other.
func (l *loop) admits(m *wirepb.RaftMessage) bool {
	if l.forming != nil && !l.forming.acceptsMessage(m.GetFrom(), l.s.settings.coordinator()) {
		return false
	}
	if !l.isForeign(m.GetCluster()) {
		if l.cluster == "" && m.GetTo() == l.s.id {
			l.cluster = m.GetCluster()
		}
		return true
	}
	l.s.metrics.foreignMessages.Inc()
	if omitted, ok := l.foreignLines.Allow(l.now()); ok {
		l.log.Warn("message of another cluster dropped", zap.String("from", m.GetFrom()), zap.String("cluster", m.GetCluster()),
			zap.String("own_cluster", l.cluster), omitted)
	}
	return false
}

// send sends messages of the consensus core with the id of the cluster.
func (l *loop) send(messages []*wirepb.RaftMessage) {
	for _, m := range messages {
		m.Cluster = l.cluster
	}
	l.s.peers.send(messages)
}
