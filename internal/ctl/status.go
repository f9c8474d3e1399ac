package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/dghubble/sling"
	"github.com/juju/errors"

	"bilberryhub/internal/wirepb"
)

// joinPoll is the pause between two looks at a replica that joins.
const joinPoll = 500 * time.Millisecond

type statusDocument struct {
	States  []stateStatus `json:"states"`
	Entries []entryStatus `json:"entries"`
	// Orders are those of the newest configuration.
	Orders []orderStatus `json:"orders"`
}

type stateStatus struct {
	Address        string `json:"address"`
	Index          uint64 `json:"index"`
	Digest         string `json:"digest"`
	ManifestNumber uint64 `json:"manifest_number"`
	Fresh          bool   `json:"fresh"`
	Error          string `json:"error,omitempty"`
}

type entryStatus struct {
	Address string `json:"address"`
	ID      string `json:"id"`
	Index   uint64 `json:"index"`
	AgeMs   int64  `json:"age_ms"`
	Error   string `json:"error,omitempty"`
}

type orderStatus struct {
	Kind   string `json:"kind"`
	Target string `json:"target"`
	Out    bool   `json:"out"`
	Number uint64 `json:"number"`
	Reason string `json:"reason,omitempty"`
}

// status shows all processes. It is refused when no state process is fresh,
// because what it shows may then be out of date.
func (t *tool) status(ctx context.Context) (*report, error) {
	var doc statusDocument
	var newest *wirepb.ConfigSnapshot
	fresh := false
	for _, v := range t.cluster.views(ctx) {
		s := stateStatus{Address: v.address, Fresh: v.fresh}
		if v.err != nil {
			s.Error = v.err.Error()
		} else {
			s.Index, s.ManifestNumber = v.snapshot.GetIndex(), v.snapshot.GetManifestNumber()
			s.Digest = fmt.Sprintf("%016x", v.snapshot.GetDigest())
			if newest == nil || v.snapshot.GetIndex() > newest.GetIndex() {
				newest = v.snapshot
			}
		}
		fresh = fresh || v.fresh
		doc.States = append(doc.States, s)
	}
	doc.Entries = t.entries(ctx)
	for _, o := range newest.GetOrders() {
		doc.Orders = append(doc.Orders, orderStatus{o.GetKind(), o.GetTarget(), o.GetOut(), o.GetNumber(), o.GetReason()})
	}
	r := &report{doc: doc, text: doc.text()}
	if !fresh {
		r.exit = ExitUnreachable
	}
	return r, nil
}

func (d *statusDocument) text() string {
	var b strings.Builder
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "STATE PROCESS\tINDEX\tMANIFEST\tFRESH\tERROR")
	for _, s := range d.States {
		fmt.Fprintf(w, "%s\t%d\t%d\t%t\t%s\n", s.Address, s.Index, s.ManifestNumber, s.Fresh, s.Error)
	}
	if len(d.Entries) > 0 {
		fmt.Fprintln(w, "\nENTRY PROCESS\tINDEX\tAGE MS\tERROR")
	}
	for _, e := range d.Entries {
		fmt.Fprintf(w, "%s %s\t%d\t%d\t%s\n", e.Address, e.ID, e.Index, e.AgeMs, e.Error)
	}
	if len(d.Orders) > 0 {
		fmt.Fprintln(w, "\nTARGET\tSERVICE\tORDER\tREASON")
	}
	for _, o := range d.Orders {
		kind := strings.ReplaceAll(o.Kind, "_", "-")
		fmt.Fprintf(w, "%s %s\t%s\t%d\t%s\n", kind, o.Target, direction(o.Out), o.Number, o.Reason)
	}
	_ = w.Flush()
	return strings.TrimSuffix(b.String(), "\n")
}

// entries fetches the dumps of all admin addresses at the same time.
func (t *tool) entries(ctx context.Context) []entryStatus {
	out := make([]entryStatus, len(t.settings.Admins))
	var wg sync.WaitGroup
	for i, address := range t.settings.Admins {
		wg.Go(func() {
			out[i] = entryStatus{Address: address, AgeMs: -1}
			doc, err := fetchDump(ctx, address)
			if err != nil {
				out[i].Error = err.Error()
				return
			}
			var d struct {
				ID     string `json:"id"`
				Config struct {
					Index uint64 `json:"index"`
					AgeMs int64  `json:"age_ms"`
				} `json:"config"`
			}
			if err := json.Unmarshal(doc, &d); err != nil {
				out[i].Error = err.Error()
				return
			}
			out[i].ID, out[i].Index, out[i].AgeMs = d.ID, d.Config.Index, d.Config.AgeMs
		})
	}
	wg.Wait()
	return out
}

// contextDoer sends requests that end with a context, which sling has no
// parameter for.
type contextDoer struct{ ctx context.Context }

func (d contextDoer) Do(req *http.Request) (*http.Response, error) {
	return http.DefaultClient.Do(req.WithContext(d.ctx))
}

func fetchDump(ctx context.Context, address string) (json.RawMessage, error) {
	var doc json.RawMessage
	resp, err := sling.New().Doer(contextDoer{ctx}).Base("http://" + address).Get("/dump").ReceiveSuccess(&doc)
	if err != nil {
		return nil, errors.Annotatef(err, "dump of %s", address)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Errorf("dump of %s: status %s", address, resp.Status)
	}
	return doc, nil
}

func (t *tool) dump(ctx context.Context, address string) (*report, error) {
	doc, err := fetchDump(ctx, address)
	if err != nil {
		return nil, failed(ExitUnreachable, err)
	}
	return &report{text: strings.TrimSpace(string(doc)), doc: doc}, nil
}

// joinDocument describes the place of a replica in the replica set.
type joinDocument struct {
	Replica string `json:"replica"`
	// Role is "voter", "learner" or "absent".
	Role     string   `json:"role"`
	Identity string   `json:"identity,omitempty"`
	Retired  []string `json:"retired,omitempty"`
}

// join waits until a replica is a voter. The replica asks to join when it
// starts without data; a leader adds it as a learner, retires the identity
// whose disk was lost, and promotes it when it has caught up.
func (t *tool) join(ctx context.Context, name string) (*report, error) {
	ctx, cancel := context.WithTimeout(ctx, t.opts.wait)
	defer cancel()
	var doc joinDocument
	last := errors.New("no state process has answered")
	for {
		now, err := t.replicaRole(ctx, name)
		if err == nil {
			doc = now
		} else if ctx.Err() == nil {
			last = err
		}
		if doc.Role == "voter" {
			return &report{doc: doc, text: fmt.Sprintf("replica %s is a voter as %s", name, doc.Identity)}, nil
		}
		if sleep(ctx, joinPoll) {
			continue
		}
		if doc.Role == "" {
			return nil, failed(ExitUnreachable, errors.Annotatef(last, "no leader was reached within %s", t.opts.wait))
		}
		return &report{exit: ExitRefused, doc: doc, text: fmt.Sprintf("replica %s is %s after %s", name, doc.Role, t.opts.wait)}, nil
	}
}

// replicaRole asks the state processes for the replica set and believes the
// leader.
func (t *tool) replicaRole(ctx context.Context, name string) (joinDocument, error) {
	last := errors.New("no state process is the leader")
	for _, client := range t.cluster.clients {
		cctx, cancel := context.WithTimeout(ctx, attemptTimeout)
		env, err := client.Call(cctx, &wirepb.Envelope{Body: &wirepb.Envelope_Dump{Dump: &wirepb.Dump{}}})
		cancel()
		if err != nil {
			last = errors.Annotatef(err, "dump of %s", client.Address())
			continue
		}
		var d struct {
			Raft struct {
				LeaseValid bool     `json:"lease_valid"`
				Voters     []string `json:"voters"`
				Learners   []string `json:"learners"`
				Retired    []string `json:"retired"`
			} `json:"raft"`
		}
		if err := json.Unmarshal(env.GetDumpReply().GetDocument(), &d); err != nil {
			last = errors.Annotatef(err, "dump of %s", client.Address())
			continue
		}
		if !d.Raft.LeaseValid {
			continue
		}
		doc := joinDocument{Replica: name, Role: "absent"}
		doc.Retired = slices.DeleteFunc(d.Raft.Retired, func(id string) bool { return nameOf(id) != name })
		for role, ids := range map[string][]string{"voter": d.Raft.Voters, "learner": d.Raft.Learners} {
			if i := slices.IndexFunc(ids, func(id string) bool { return nameOf(id) == name }); i >= 0 {
				doc.Role, doc.Identity = role, ids[i]
			}
		}
		return doc, nil
	}
	return joinDocument{}, last
}

// nameOf returns the name of a replica from its identity, "NAME/DISK".
func nameOf(id string) string {
	name, _, _ := strings.Cut(id, "/")
	return name
}
