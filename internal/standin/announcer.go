package standin

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"bilberryhub/internal/announce"
	"bilberryhub/internal/observe"

	"github.com/dghubble/sling"
	"github.com/juju/errors"
	"go.uber.org/zap"
)

// loadState is the load of a backend server at one moment.
type loadState struct {
	at      time.Time
	seq     uint64
	open    []string
	memory  uint64
	prefill uint64
	cold    bool
	events  []announce.CacheEvent
}

// announcer makes one boot of an instance known. It announces to one entry
// process at a time and changes over when that one fails or releases it.
type announcer struct {
	in     *Instance
	boot   *boot
	client *http.Client
	rng    *rand.Rand
	stop   context.CancelFunc
	done   sync.WaitGroup

	// target is the address to announce to; fallback counts through the
	// configured addresses.
	target   string
	fallback int
	// owner is who answered 200 last, and ownerAt its address.
	owner, ownerAt string
	released       bool
	sequence       uint64

	reports []loadState
	report  loadState
	events  []announce.CacheEvent
	reportN uint64
}

func newAnnouncer(in *Instance, b *boot) *announcer {
	ctx, stop := context.WithCancel(context.Background())
	a := &announcer{
		in: in, boot: b, stop: stop,
		client: &http.Client{
			Transport:     &http.Transport{MaxIdleConnsPerHost: 2, IdleConnTimeout: 5 * time.Second},
			Timeout:       announce.MaxDelay,
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
		rng: rand.New(rand.NewPCG(in.seed, b.number)),
	}
	// Instances start at different entry processes, as if each had been given
	// the list in another order.
	a.fallback = int(a.rng.Uint64N(uint64(len(in.cfg.Entries))))
	a.target = in.cfg.Entries[a.fallback]
	a.report = b.load()
	a.reportN, a.report.seq = 1, 1
	a.done.Go(func() { a.run(ctx) })
	return a
}

func (a *announcer) close() {
	a.stop()
	a.done.Wait()
	a.client.CloseIdleConnections()
}

func (a *announcer) run(ctx context.Context) {
	ticker := time.NewTicker(announce.Interval)
	defer ticker.Stop()
	for {
		a.observe()
		if !a.in.faults.get().Silent {
			a.announce(ctx)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// load takes a load report.
func (b *boot) load() loadState {
	var l loadState
	if b.engine != nil {
		l = b.engine.load()
	} else {
		l = b.plain.load()
	}
	l.at = time.Now()
	return l
}

// observe takes a report and makes the newest one that is old enough current.
// Lost reports and events leave gaps.
func (a *announcer) observe() {
	m := a.in.cfg.Model
	taken := a.boot.load()
	a.reportN++
	taken.seq = a.reportN
	a.reports = append(a.reports, taken)
	due := time.Now().Add(-millis(m.ReportDelayMS))
	for len(a.reports) > 0 && !a.reports[0].at.After(due) {
		next := a.reports[0]
		a.reports = a.reports[1:]
		for _, e := range next.events {
			if a.rng.Float64() >= m.EventDrop {
				a.events = append(a.events, e)
			}
		}
		a.events = a.events[max(0, len(a.events)-maxEvents):]
		if a.rng.Float64() >= m.ReportDrop {
			a.report = next
		}
	}
}

func (a *announcer) document() *announce.Announcement {
	a.sequence++
	c := &a.in.cfg
	doc := &announce.Announcement{
		ID: c.ID, Boot: a.boot.number, Address: c.Address, FailureDomain: c.FailureDomain,
		Service: c.Service, Kind: c.Kind, Models: a.in.orders.loaded(),
		ColdLimitRequests: c.ColdLimitRequests, ChecksFencing: c.ChecksFencing,
		Leaving: a.in.faults.get().Leaving, Sequence: a.sequence,
		Load: announce.Load{
			AgeMS: uint64(time.Since(a.report.at).Milliseconds()), Sequence: a.report.seq,
			Open: a.report.open, MemoryUsedTokens: a.report.memory, PrefillTokens: a.report.prefill,
			Cold: a.report.cold, CacheEvents: a.events,
		},
	}
	if c.Kind == announce.KindModel {
		doc.MemoryTokens = uint64(c.Model.MemoryTokens)
		doc.MaxConcurrent = uint32(c.Model.MaxBatch)
		// Callers see the scaled speed.
		doc.Load.PrefillTokensPerSecond = c.Model.PrefillTokensPerSecond / a.in.scale
	}
	return doc
}

// announce sends one announcement, following one redirect.
func (a *announcer) announce(ctx context.Context) {
	doc := a.document()
	to := a.target
	for range 2 {
		status, next, err := a.post(ctx, to, doc)
		switch {
		case err == nil && status == http.StatusOK:
			a.in.stats.Announced.Add(1)
			a.events = nil
			return
		case err == nil && status == http.StatusTemporaryRedirect && next != "":
			to = next
			continue
		}
		if ctx.Err() == nil {
			a.in.log.Debug("announcement failed", zap.String("entry", to), zap.Int("status", status), observe.Error(err))
		}
		break
	}
	a.in.stats.AnnounceFailed.Add(1)
	a.fallback = (a.fallback + 1) % len(a.in.cfg.Entries)
	a.target = a.in.cfg.Entries[a.fallback]
}

func (a *announcer) post(ctx context.Context, to string, doc *announce.Announcement) (status int, next string, err error) {
	doc.PreviousOwner, doc.PreviousReleased = "", false
	if a.owner != "" && a.ownerAt != to {
		doc.PreviousOwner, doc.PreviousReleased = a.owner, a.released
	}
	req, err := sling.New().Post("http://" + to + announce.Path).BodyJSON(doc).Request()
	if err != nil {
		return 0, "", errors.Annotatef(err, "build announcement to %s", to)
	}
	resp, err := a.client.Do(req.WithContext(ctx))
	if err != nil {
		if !errors.Is(err, syscall.ECONNREFUSED) {
			// The receiver may have taken the announcement and own this server.
			a.owner, a.ownerAt, a.released = to, to, false
		}
		return 0, "", errors.Annotatef(err, "announce to %s", to)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return resp.StatusCode, hostOf(resp), nil
	}
	var reply announce.Reply
	if err := json.NewDecoder(resp.Body).Decode(&reply); err != nil {
		return 0, "", errors.Annotatef(err, "decode reply of %s", to)
	}
	a.owner, a.ownerAt, a.target, a.released = reply.Owner, to, to, reply.Released
	if reply.Released && reply.Next != "" {
		a.target = hostPort(reply.Next)
	}
	return resp.StatusCode, "", nil
}

// hostOf returns the address that a redirect names.
func hostOf(resp *http.Response) string {
	location := resp.Header.Get("Location")
	if u, err := resp.Location(); err == nil && strings.Contains(location, "://") {
		return u.Host
	}
	return hostPort(location)
}

func hostPort(address string) string {
	if _, rest, ok := strings.Cut(address, "://"); ok {
		address = rest
	}
	address, _, _ = strings.Cut(address, "/")
	return address
}
