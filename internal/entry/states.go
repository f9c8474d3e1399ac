package entry

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"
	"go.uber.org/zap"

	"bilberryhub/internal/observe"
	"bilberryhub/internal/wire"
	"bilberryhub/internal/wirepb"
)

const (
	// membersInterval is the time between two questions for the members of the cluster. All state
	// processes that an entry process knows are not replaced within it: after each one the next
	// has to wait until its successor has the state.
	membersInterval = 5 * time.Second
	// membersTimeout bounds the question to one state process.
	membersTimeout = time.Second
	// codeRefused is the failure code of a notice that isn't needed or can't be used.
	codeRefused = "refused"
)

var memberAnswers = metrics.GetOrCreateCounter(`bilberry_entry_member_answers_total`)

// stateAddresses holds the addresses of the state processes: those of the settings, which may
// all have been replaced since the start, and the members that a state process has listed.
type stateAddresses struct {
	configured []string
	clients    *wire.Pool
	log        *zap.Logger
	// changed is called with all addresses when they have changed, one call at a time.
	changed func([]string)

	// asking is held while the state processes are asked.
	asking sync.Mutex

	mu      sync.Mutex
	members []string
	// cluster is the id of the cluster of the first answer that had one.
	cluster string
	// isAnswered is set if a state process answered the last question.
	isAnswered bool
}

// all returns all addresses, those that were listed as members first.
func (a *stateAddresses) all() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := slices.Clone(a.members)
	for _, c := range a.configured {
		if !slices.Contains(out, c) {
			out = append(out, c)
		}
	}
	return out
}

// follow asks for the members until ctx ends.
func (a *stateAddresses) follow(ctx context.Context) {
	for {
		a.ask(ctx, a.all())
		select {
		case <-ctx.Done():
			return
		case <-time.After(membersInterval):
		}
	}
}

// ask asks the state processes at addresses for the members, one after the other until one
// answers. It reports whether one did.
func (a *stateAddresses) ask(ctx context.Context, addresses []string) bool {
	a.asking.Lock()
	defer a.asking.Unlock()
	isAnswered := slices.ContainsFunc(addresses, func(address string) bool {
		if ctx.Err() != nil {
			return false
		}
		err := a.askOne(ctx, address)
		if err != nil {
			a.log.Debug("state process has not listed the members", zap.String("address", address), observe.Error(err))
		}
		return err == nil
	})
	a.mu.Lock()
	defer a.mu.Unlock()
	a.isAnswered = isAnswered
	return isAnswered
}

// askOne replaces the members by those that one state process lists.
func (a *stateAddresses) askOne(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, membersTimeout)
	defer cancel()
	env, err := a.clients.Get(address).Call(ctx, &wirepb.Envelope{Body: &wirepb.Envelope_MembershipQuery{MembershipQuery: &wirepb.MembershipQuery{}}})
	if err != nil {
		return errors.Annotatef(err, "ask %s for the members", address)
	}
	m := env.GetMembershipReply().GetMembership()
	if len(m.GetVoters()) == 0 {
		return errors.Errorf("%s belongs to no cluster", address)
	}
	memberAnswers.Inc()
	var members []string
	for _, r := range slices.Concat(m.GetVoters(), m.GetLearners()) {
		members = append(members, r.GetAddress())
	}
	return a.set(members, m.GetCluster())
}

// set replaces the members. It returns an error if they are those of another cluster than before,
// which may belong to another deployment.
func (a *stateAddresses) set(members []string, cluster string) error {
	slices.Sort(members)
	a.mu.Lock()
	if a.cluster != "" && cluster != "" && cluster != a.cluster {
		a.mu.Unlock()
		return errors.Errorf("the members are those of cluster %s, not of %s", cluster, a.cluster)
	}
	if a.cluster == "" {
		a.cluster = cluster
	}
	isChanged := !slices.Equal(members, a.members)
	a.members = members
	a.mu.Unlock()
	if isChanged {
		a.log.Info("members of the cluster changed", zap.Strings("members", members))
		a.changed(a.all())
	}
	return nil
}

// serveNotice serves a notice that tells this process where state processes are. It is used only
// if none answered the last question.
func (a *stateAddresses) serveNotice(ctx context.Context, st *wire.Stream, n *wirepb.MembersNotice) error {
	err := a.checkNotice(st.Peer().Kind, n)
	if err == nil && !a.ask(ctx, n.GetAddresses()) {
		err = errors.New("none of the state processes has listed the members")
	}
	if err != nil {
		return st.Send(wire.FailureEnvelope("notice of members", codeRefused, err))
	}
	a.log.Info("told of state processes", zap.String("by", st.Peer().ID), zap.Strings("states", n.GetAddresses()))
	return st.Send(wire.AckEnvelope())
}

// checkNotice returns an error if a notice isn't used.
func (a *stateAddresses) checkNotice(sender wire.Kind, n *wirepb.MembersNotice) error {
	if sender != wire.KindState && sender != wire.KindCtl {
		return errors.Errorf("notice of members from a process of kind %q", sender)
	}
	if err := wire.CheckMembersNotice(n); err != nil {
		return errors.Trace(err)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.isAnswered {
		return errors.New("the process reaches state processes")
	}
	return nil
}
