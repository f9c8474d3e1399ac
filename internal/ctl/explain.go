package ctl

import (
	"cmp"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/dghubble/sling"
	"github.com/juju/errors"

	"bilberryhub/internal/explain"
)

// explainQuery is the request that the command explain asks about.
type explainQuery struct {
	// gateway is the admin address of the gateway.
	gateway      string
	route        string
	account      string
	promptTokens int64
	outputTokens int64
}

// register adds the flags of the query.
func (q *explainQuery) register(flags *flag.FlagSet) {
	flags.StringVar(&q.gateway, "gateway", "", "admin `address` of the gateway to explain")
	flags.StringVar(&q.route, "route", "", "`name` of the route to explain")
	flags.StringVar(&q.account, "account", "", "`name` of the client account to explain")
	flags.Int64Var(&q.promptTokens, "prompt-tokens", 0, "prompt `tokens` to explain; 0 for a request without a prompt")
	flags.Int64Var(&q.outputTokens, "output-tokens", 0, "expected output `tokens` to explain; 0 if the caller states none")
}

// check returns an error if the flags are invalid.
func (q *explainQuery) check() error {
	if q.gateway == "" {
		return errors.New("explain needs -gateway ADDRESS")
	}
	if _, _, err := net.SplitHostPort(q.gateway); err != nil {
		return errors.Annotate(err, "-gateway")
	}
	switch {
	case q.route == "":
		return errors.New("explain needs -route NAME")
	case q.promptTokens < 0 || q.outputTokens < 0:
		return errors.New("-prompt-tokens and -output-tokens must not be negative")
	}
	return nil
}

// values returns the query parameters.
func (q *explainQuery) values() url.Values {
	v := url.Values{explain.ParamRoute: {q.route}}
	if q.account != "" {
		v.Set(explain.ParamAccount, q.account)
	}
	for name, n := range map[string]int64{explain.ParamPromptTokens: q.promptTokens, explain.ParamOutputTokens: q.outputTokens} {
		if n > 0 {
			v.Set(name, strconv.FormatInt(n, 10))
		}
	}
	return v
}

// explain reports where a request would go, according to a gateway. The exit code of an
// error is ExitRefused if the gateway refuses the query, and otherwise ExitUnreachable.
func (t *tool) explain(ctx context.Context) (*report, error) {
	q := &t.opts.explained
	if err := q.check(); err != nil {
		return nil, withExitCode(ExitUsage, err)
	}
	ctx, cancel := context.WithTimeout(ctx, t.settings.timeout())
	defer cancel()
	var doc json.RawMessage
	var refused explain.Error
	resp, err := sling.New().Doer(contextDoer{ctx}).Base("http://"+q.gateway).
		Get(explain.Path+"?"+q.values().Encode()).Receive(&doc, &refused)
	if err == nil && resp.StatusCode != http.StatusOK && refused.Error == "" {
		err = errors.Errorf("status %s", resp.Status)
	}
	if err != nil {
		if resp != nil && resp.StatusCode == http.StatusNotFound {
			// The response isn't one of explain.Path.
			err = errors.New("it does not explain choices: it is no gateway or an earlier build")
		}
		return nil, withExitCode(ExitUnreachable, errors.Annotatef(err, "gateway %s", q.gateway))
	}
	if resp.StatusCode != http.StatusOK {
		exitCode := ExitUnreachable
		if resp.StatusCode < http.StatusInternalServerError {
			exitCode = ExitRefused
		}
		return nil, withExitCode(exitCode, errors.Errorf("gateway %s: %s", q.gateway, refused.Error))
	}
	var parsed explain.Document
	if err := json.Unmarshal(doc, &parsed); err != nil {
		return nil, withExitCode(ExitUnreachable, errors.Annotatef(err, "explanation of gateway %s", q.gateway))
	}
	return &report{doc: doc, text: explanationText(&parsed)}, nil
}

// explanationText returns an explanation as text for operators.
func explanationText(d *explain.Document) string {
	var b strings.Builder
	fmt.Fprintf(&b, "route %s at gateway %s in %s: %d prompt tokens, %d output tokens, first event within %.0f ms", d.Route, d.Gateway,
		d.FailureDomain, d.PromptTokens, d.OutputTokens, d.ObjectiveMs)
	if d.Account != "" {
		fmt.Fprintf(&b, ", account %s", d.Account)
	}
	fmt.Fprintf(&b, "\nconfiguration %d, confirmed %.0f ms ago; %d gateways, load shares of %d others", d.ConfigIndex, d.ConfigAgeMs,
		d.Gateways, d.LoadShares.Count)
	if d.LoadShares.Count > 0 {
		fmt.Fprintf(&b, ", %.0f to %.0f ms old", d.LoadShares.NewestMs, d.LoadShares.OldestMs)
	}
	if d.NotReady != "" {
		fmt.Fprintf(&b, "\nthe gateway is not ready: %s", d.NotReady)
	}
	for i := range d.Services {
		writeService(&b, &d.Services[i])
	}
	return b.String()
}

// writeService writes the candidates of a service and the result.
func writeService(b *strings.Builder, s *explain.Service) {
	fmt.Fprintf(b, "\n\nservice %s, %.0f%% of the requests, ", s.Service, 100*s.Share)
	if s.ByEngineModel {
		b.WriteString("engines compared by predicted times\n")
	} else {
		fmt.Fprintf(b, "compared by open requests, with a random part up to %v\n", s.RandomCost)
	}
	w := tabwriter.NewWriter(b, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "BACKEND SERVER\tDOMAIN\tCOST\tOPEN\tBACKLOG MS\tMEMORY\tFIRST EVENT MS\tANNOUNCED MS\tSHARE MS\tSTATE\tPARTS OF THE COST")
	for i := range s.Candidates {
		c := &s.Candidates[i]
		cost, share := "-", "-"
		if c.Cost != nil {
			cost = fmt.Sprintf("%.4f", *c.Cost)
		}
		if c.LoadShareAgeMs != nil {
			share = fmt.Sprintf("%.0f", *c.LoadShareAgeMs)
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%d/%d\t%.0f\t%.0f\t%.0f\t%.0f\t%s\t%s\t%s\n", c.BackendServer, c.FailureDomain, cost, c.OpenRequests, c.Slots,
			c.BacklogMs, c.MemoryTokens, c.FirstEventMs, c.AnnouncementAgeMs, share, stateText(c), partsText(c.CostParts))
	}
	_ = w.Flush()
	b.WriteString(resultText(s))
}

// stateText returns what is special about a backend server.
func stateText(c *explain.Candidate) string {
	var out []string
	if c.Excluded != "" {
		out = append(out, "excluded: "+c.Excluded)
	}
	for _, s := range []struct {
		on   bool
		text string
	}{
		{c.NoRoom, "no room"},
		{c.Leaving, "leaving"},
		{c.PausedMs > 0, fmt.Sprintf("paused for %.0f ms", c.PausedMs)},
		{c.Limited, "limited"},
		{c.Cold, "cold"},
		{c.Spared, "spared"},
		{c.Unreachable, "unreachable"},
		{c.Dead, "dead"},
		{c.Avoided, "avoided"},
		{c.FailureShare > 0, fmt.Sprintf("%.0f%% failures", 100*c.FailureShare)},
		{c.Slowness > 1, fmt.Sprintf("%.1f times slower", c.Slowness)},
	} {
		if s.on && !strings.Contains(c.Excluded, s.text) {
			out = append(out, s.text)
		}
	}
	if len(out) == 0 {
		return "-"
	}
	return strings.Join(out, ", ")
}

// partsText returns the parts of a cost that aren't 0, the largest first.
func partsText(parts map[string]float64) string {
	names := make([]string, 0, len(parts))
	for name, cost := range parts {
		if cost != 0 {
			names = append(names, name)
		}
	}
	if len(names) == 0 {
		return "-"
	}
	slices.SortFunc(names, func(a, b string) int { return cmp.Or(cmp.Compare(parts[b], parts[a]), cmp.Compare(a, b)) })
	for i, name := range names {
		names[i] = fmt.Sprintf("%s %.4f", strings.ReplaceAll(name, "_", " "), parts[name])
	}
	return strings.Join(names, " + ")
}

// resultText returns the choice, the deferral or the refusal.
func resultText(s *explain.Service) string {
	switch {
	case s.Choice != nil:
		text := "chosen: " + s.Choice.BackendServer
		if len(s.Choice.Helpers) > 0 {
			text += " with the helpers " + strings.Join(s.Choice.Helpers, ", ")
		}
		if s.Choice.Holders > 0 {
			text += fmt.Sprintf("; helpers that hold memory: the first %d, %.0f tokens each", s.Choice.Holders, s.Choice.HeldTokens)
		}
		if s.Choice.FirstEventMs > 0 {
			text += fmt.Sprintf("; first event predicted in %.0f ms", s.Choice.FirstEventMs)
		}
		return text
	case s.Deferral != nil:
		return fmt.Sprintf("deferred: %s; chosen again about every %.0f ms, for at most %.0f ms", s.Deferral.Reason, s.Deferral.WaitMs,
			s.Deferral.LongestMs)
	case s.Refusal != nil:
		text := fmt.Sprintf("refused with %d: %s; Retry-After about %.3f s", s.Refusal.Status, s.Refusal.Reason, s.Refusal.RetryAfterMs/1000)
		if s.Refusal.FirstEventMs > 0 {
			text += fmt.Sprintf("; first event predicted in %.0f ms", s.Refusal.FirstEventMs)
		}
		return text
	}
	return "no result"
}
