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

// joinPollInterval is the interval between polls for the role of a joining replica.
const joinPollInterval = 500 * time.Millisecond

// statusDocument is the JSON document of the command status.
type statusDocument struct {
	States  []stateStatus `json:"states"`
	Entries []entryStatus `json:"entries"`
	// Orders are those of the newest configuration.
	Orders []orderStatus `json:"orders"`
}

// stateStatus is the status of a state process.
type stateStatus struct {
	Address        string `json:"address"`
	Index          uint64 `json:"index"`
	Digest         string `json:"digest"`
	ManifestNumber uint64 `json:"manifest_number"`
	Fresh          bool   `json:"fresh"`
	Error          string `json:"error,omitempty"`
}

// entryStatus is the status of an entry process. AgeMs is the age of its
// configuration, or -1 if it is unknown.
type entryStatus struct {
	Address string `json:"address"`
	ID      string `json:"id"`
	Index   uint64 `json:"index"`
	AgeMs   int64  `json:"age_ms"`
	Error   string `json:"error,omitempty"`
}

// orderStatus is an order in force.
type orderStatus struct {
	Kind   string `json:"kind"`
	Target string `json:"target"`
	Out    bool   `json:"out"`
	Number uint64 `json:"number"`
	Reason string `json:"reason,omitempty"`
}

// status reports the status of all processes. The exit code is ExitUnreachable if no
// state process is fresh, because the report may then be out of date.
func (t *tool) status(ctx context.Context) (*report, error) {
	var doc statusDocument
	var newest *wirepb.ConfigSnapshot
	fresh := false
	for _, v := range t.cluster.stateViews(ctx) {
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
	doc.Entries = t.fetchEntries(ctx)
	for _, o := range newest.GetOrders() {
		doc.Orders = append(doc.Orders, orderStatus{o.GetKind(), o.GetTarget(), o.GetOut(), o.GetNumber(), o.GetReason()})
	}
	r := &report{doc: doc, text: doc.text()}
	if !fresh {
		r.exitCode = ExitUnreachable
	}
	return r, nil
}

// text returns the document as tables.
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

// fetchEntries returns the status of the entry processes at all admin addresses,
// fetched concurrently.
func (t *tool) fetchEntries(ctx context.Context) []entryStatus {
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

// contextDoer sends requests with a context, for which sling has no parameter.
type contextDoer struct{ ctx context.Context }

func (d contextDoer) Do(req *http.Request) (*http.Response, error) {
	return http.DefaultClient.Do(req.WithContext(d.ctx))
}

// fetchDump returns the state dump of the process at an admin address.
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

// dump reports the state dump of the process at an admin address. The exit code of an
// error is ExitUnreachable.
func (t *tool) dump(ctx context.Context, address string) (*report, error) {
	doc, err := fetchDump(ctx, address)
	if err != nil {
		return nil, withExitCode(ExitUnreachable, err)
	}
	return &report{text: strings.TrimSpace(string(doc)), doc: doc}, nil
}

// joinDocument is the JSON document that reports the role of a replica in the replica
// set.
type joinDocument struct {
	Replica string `json:"replica"`
	// Role is "voter", "learner" or "absent", or empty if it is unknown.
	Role     string   `json:"role"`
	Identity string   `json:"identity,omitempty"`
	Retired  []string `json:"retired,omitempty"`
}

// join waits until a replica is a voter. It changes nothing itself: a replica that
// starts without data requests to join, and a leader adds it as a learner, retires the
// identity whose disk was lost, and promotes the learner when it has caught up.
func (t *tool) join(ctx context.Context, name string) (*report, error) {
	ctx, cancel := context.WithTimeout(ctx, t.opts.wait)
	defer cancel()
	var doc joinDocument
	lastErr := errors.New("no state process has answered")
	for {
		current, err := t.replicaRole(ctx, name)
		if err == nil {
			doc = current
		} else if ctx.Err() == nil {
			lastErr = err
		}
		if doc.Role == "voter" {
			return &report{doc: doc, text: fmt.Sprintf("replica %s is a voter as %s", name, doc.Identity)}, nil
		}
		if sleep(ctx, joinPollInterval) {
			continue
		}
		if doc.Role == "" {
			return nil, withExitCode(ExitUnreachable, errors.Annotatef(lastErr, "no leader was reached within %s", t.opts.wait))
		}
		return &report{exitCode: ExitRefused, doc: doc, text: fmt.Sprintf("replica %s is %s after %s", name, doc.Role, t.opts.wait)}, nil
	}
}

// replicaRole returns the role of a replica according to the leader, which is the
// state process with a valid lease. It returns an error if none is found.
func (t *tool) replicaRole(ctx context.Context, name string) (joinDocument, error) {
	lastErr := errors.New("no state process is the leader")
	for _, client := range t.cluster.clients {
		callCtx, cancel := context.WithTimeout(ctx, attemptTimeout)
		env, err := client.Call(callCtx, &wirepb.Envelope{Body: &wirepb.Envelope_Dump{Dump: &wirepb.Dump{}}})
		cancel()
		if err != nil {
			lastErr = errors.Annotatef(err, "dump of %s", client.Address())
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
			lastErr = errors.Annotatef(err, "dump of %s", client.Address())
			continue
		}
		if !d.Raft.LeaseValid {
			continue
		}
		doc := joinDocument{Replica: name, Role: "absent"}
		doc.Retired = slices.DeleteFunc(d.Raft.Retired, func(id string) bool { return replicaName(id) != name })
		for role, ids := range map[string][]string{"voter": d.Raft.Voters, "learner": d.Raft.Learners} {
			if i := slices.IndexFunc(ids, func(id string) bool { return replicaName(id) == name }); i >= 0 {
				doc.Role, doc.Identity = role, ids[i]
			}
		}
		return doc, nil
	}
	return joinDocument{}, lastErr
}

// replicaName returns the name of the replica with an identity of the form "NAME/DISK".
func replicaName(id string) string {
	name, _, _ := strings.Cut(id, "/")
	return name
}
