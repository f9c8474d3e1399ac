package stateserver

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"bilberryhub/internal/raft"
)

// serverMetrics are the metrics of one replica.
type serverMetrics struct {
	name          string
	commitSeconds *metrics.Histogram
	batchEntries  *metrics.Histogram
	// turnSeconds is the duration of one iteration of the loop, without the wait
	// for messages.
	turnSeconds *metrics.Histogram
	dropped     *metrics.Counter
	configsSent *metrics.Counter
	snapshots   *metrics.Counter
	subscribers *metrics.Gauge
	applied     *metrics.Gauge
	configIndex *metrics.Gauge
	leader      *metrics.Gauge
	// learners is the number of learners, set by the leader: above 0, the
	// replacement of a replica is not complete.
	learners *metrics.Gauge
	// replicas is the number of voters and learners, and lostReplicas how many of them are
	// lost, both set by the leader.
	replicas, lostReplicas *metrics.Gauge
	joinRounds             *metrics.Counter
	// joinsRefused counts the join requests that the leader refused for lack of a place.
	joinsRefused *metrics.Counter
	// withoutCluster is 1 while the replica belongs to no cluster.
	withoutCluster *metrics.Gauge
	// missing is the number of processes that this replica looks for, noticesSent the number of
	// notices to them, and noticesAccepted how many of these a process needed.
	missing                      *metrics.Gauge
	noticesSent, noticesAccepted *metrics.Counter
	// foreignMessages counts the messages of other clusters, which were dropped.
	foreignMessages *metrics.Counter
	// diskFull is 1 while writes wait for space on the disk.
	diskFull *metrics.Gauge
}

// newServerMetrics returns the metrics of the replica with the given name.
func newServerMetrics(name string) *serverMetrics {
	label := func(metric string) string { return fmt.Sprintf(`bilberry_state_%s{replica=%q}`, metric, name) }
	gauge := func(metric string) *metrics.Gauge { return metrics.GetOrCreateGauge(label(metric), nil) }
	return &serverMetrics{
		name:          name,
		commitSeconds: metrics.GetOrCreateHistogram(label("commit_seconds")),
		turnSeconds:   metrics.GetOrCreateHistogram(label("loop_turn_seconds")),
		batchEntries:  metrics.GetOrCreateHistogram(label("batch_entries")),
		dropped:       metrics.GetOrCreateCounter(label("dropped_messages_total")),
		configsSent:   metrics.GetOrCreateCounter(label("config_snapshots_sent_total")),
		snapshots:     metrics.GetOrCreateCounter(label("snapshots_total")),
		subscribers:   gauge("subscribers"),
		applied:       gauge("applied_index"),
		configIndex:   gauge("config_index"),
		leader:        gauge("is_leader"),
		learners:      gauge("learners"),
		replicas:      gauge("replicas"),
		lostReplicas:  gauge("lost_replicas"),
		joinRounds:    metrics.GetOrCreateCounter(label("join_rounds_total")),
		joinsRefused:  metrics.GetOrCreateCounter(label("joins_refused_total")),
		diskFull:      gauge("disk_full"),

		withoutCluster: gauge("without_cluster"), missing: gauge("missing_processes"), noticesSent: metrics.GetOrCreateCounter(label("notices_sent_total")),
		noticesAccepted: metrics.GetOrCreateCounter(label("notices_accepted_total")), foreignMessages: metrics.GetOrCreateCounter(label("foreign_messages_total")),
	}
}

// countProposal counts a proposal that was answered with the given failure code,
// which is empty on success.
func (m *serverMetrics) countProposal(code string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`bilberry_state_proposals_total{replica=%q,code=%q}`, m.name, code)).Inc()
}

// setRole sets the leader gauge to 1 on the leader. On other replicas it sets that and the
// gauges that only the leader knows to 0.
func (m *serverMetrics) setRole(r raft.Role) {
	if r == raft.Leader {
		m.leader.Set(1)
		return
	}
	for _, g := range []*metrics.Gauge{m.leader, m.learners, m.replicas, m.lostReplicas} {
		g.Set(0)
	}
}

// setReplicas sets the gauges of the replica set from the status of the leader.
func (m *serverMetrics) setReplicas(st raft.Status) {
	lost := 0
	for _, p := range st.Progress {
		if isLost(p) {
			lost++
		}
	}
	m.learners.Set(float64(len(st.Learners)))
	m.replicas.Set(float64(len(st.Voters) + len(st.Learners)))
	m.lostReplicas.Set(float64(lost))
}
