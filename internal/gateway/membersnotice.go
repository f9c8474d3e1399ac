package gateway

import (
	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"
	"go.uber.org/zap"

	"bilberryhub/internal/bootclock"
	"bilberryhub/internal/fleetclient"
	"bilberryhub/internal/wire"
	"bilberryhub/internal/wirepb"
)

// codeRefused is the failure code of a notice that isn't needed or that can't be used.
const codeRefused = "refused"

var membersNotices = metrics.GetOrCreateCounter(`bilberry_gateway_members_notices_total`)

// serveMembersNotice serves a notice that tells this gateway where state processes are. It is
// used only while no state process that this one knows sends anything: those of the settings may
// all have been replaced since it started.
func (g *Gateway) serveMembersNotice(st *wire.Stream, n *wirepb.MembersNotice) error {
	err := g.checkMembersNotice(st.Peer().Kind, n)
	if err != nil {
		return st.Send(wire.FailureEnvelope("notice of members", codeRefused, err))
	}
	membersNotices.Inc()
	g.log.Info("told of state processes", zap.String("by", st.Peer().ID), zap.Strings("states", n.GetAddresses()))
	g.members.addStates(g.ctx, n.GetAddresses())
	return st.Send(wire.AckEnvelope())
}

// checkMembersNotice returns an error if a notice isn't used.
func (g *Gateway) checkMembersNotice(sender wire.Kind, n *wirepb.MembersNotice) error {
	if sender != wire.KindState && sender != wire.KindCtl {
		return errors.Errorf("notice of members from a process of kind %q", sender)
	}
	if err := wire.CheckMembersNotice(n); err != nil {
		return errors.Trace(err)
	}
	return g.members.needsStates(n.GetCluster())
}

// needsStates returns an error unless all known state processes are silent. The state processes
// of another cluster than before are not used: it may belong to another deployment.
func (m *members) needsStates(cluster string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cluster != "" && cluster != "" && cluster != m.cluster {
		return errors.Errorf("the gateway belongs to cluster %s", m.cluster)
	}
	now := bootclock.Now()
	for _, entry := range m.states {
		if entry.lastReceivedAt > 0 && now-entry.lastReceivedAt < fleetclient.Silence {
			return errors.New("the gateway hears state processes")
		}
	}
	return nil
}
