package standin

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
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

// loadReport is a sample of the load of a backend server. open has the ids of the
// open requests; seq numbers the samples of one boot, so that lost ones show as
// gaps.
type loadReport struct {
	takenAt              time.Time
	seq                  uint64
	open                 []string
	memoryTokens         uint64
	pendingPrefillTokens uint64
	cold                 bool
	cacheEvents          []announce.CacheEvent
}

// announcer sends the announcements of one boot of an instance. It announces to
// one entry process at a time, and moves to another one when that one fails,
// redirects it or releases it.
type announcer struct {
	in     *Instance
	boot   *boot
	client *http.Client
	rng    *rand.Rand
	stop   context.CancelFunc
	wg     sync.WaitGroup

	// target is the address to announce to; entryIndex is the position in the
	// configured addresses, which are tried in turn after failures.
	target     string
	entryIndex int
	// owner is the entry process that last answered 200, and ownerAddress its
	// address. After a lost response owner is the address as well. released is
	// whether that owner has released the backend server.
	owner, ownerAddress string
	released            bool
	// isRepeat is set while one announcement to the owner has had no response.
	isRepeat bool
	// sequence is the number of the last announcement.
	sequence uint64

	// pendingReports are younger than the report delay, oldest first;
	// currentReport is the one that is announced. cacheEvents are the cache
	// events that no acknowledged announcement has carried.
	pendingReports []loadReport
	currentReport  loadReport
	cacheEvents    []announce.CacheEvent
	lastReportSeq  uint64
}

// newAnnouncer starts announcing boot b. The settings of the instance must name at
// least one entry process.
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
	// Instances begin with different entry processes, as if each were configured
	// with the list in another order.
	a.entryIndex = int(a.rng.Uint64N(uint64(len(in.cfg.Entries))))
	a.target = in.cfg.Entries[a.entryIndex]
	a.currentReport = b.load()
	a.lastReportSeq, a.currentReport.seq = 1, 1
	a.wg.Go(func() { a.run(ctx) })
	return a
}

func (a *announcer) close() {
	a.stop()
	a.wg.Wait()
	a.client.CloseIdleConnections()
}

// run announces at once and then every announce.Interval until ctx is cancelled.
func (a *announcer) run(ctx context.Context) {
	ticker := time.NewTicker(announce.Interval)
	defer ticker.Stop()
	for {
		a.sampleLoad()
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

// load samples the current load; the caller numbers the report.
func (b *boot) load() loadReport {
	var l loadReport
	if b.engine != nil {
		l = b.engine.load()
	} else {
		l = b.plain.load()
	}
	l.takenAt = time.Now()
	return l
}

// sampleLoad queues a new load report and makes the newest report that has reached
// the report delay the current one. Reports and cache events are dropped with the
// configured probabilities and leave gaps in the sequence numbers.
func (a *announcer) sampleLoad() {
	m := a.in.cfg.Model
	sample := a.boot.load()
	a.lastReportSeq++
	sample.seq = a.lastReportSeq
	a.pendingReports = append(a.pendingReports, sample)
	newestAllowed := time.Now().Add(-millis(m.ReportDelayMS))
	for len(a.pendingReports) > 0 && !a.pendingReports[0].takenAt.After(newestAllowed) {
		next := a.pendingReports[0]
		a.pendingReports = a.pendingReports[1:]
		for _, e := range next.cacheEvents {
			if a.rng.Float64() >= m.EventDrop {
				a.cacheEvents = append(a.cacheEvents, e)
			}
		}
		a.cacheEvents = a.cacheEvents[max(0, len(a.cacheEvents)-maxCacheEvents):]
		if a.rng.Float64() >= m.ReportDrop {
			a.currentReport = next
		}
	}
}

// announcement builds the next announcement from the current report.
func (a *announcer) announcement() *announce.Announcement {
	a.sequence++
	c := &a.in.cfg
	doc := &announce.Announcement{
		ID: c.ID, Boot: a.boot.number, Address: c.Address, FailureDomain: c.FailureDomain,
		Service: c.Service, Kind: c.Kind, Models: a.in.orders.loadedModels(),
		ColdLimitRequests: c.ColdLimitRequests, ChecksFencing: c.ChecksFencing,
		Leaving: a.in.faults.get().Leaving, Sequence: a.sequence,
		Load: announce.Load{
			AgeMS: uint64(time.Since(a.currentReport.takenAt).Milliseconds()), Sequence: a.currentReport.seq,
			Open: a.currentReport.open, MemoryUsedTokens: a.currentReport.memoryTokens, PrefillTokens: a.currentReport.pendingPrefillTokens,
			Cold: a.currentReport.cold, CacheEvents: a.cacheEvents,
		},
	}
	if c.Kind == announce.KindModel {
		doc.MemoryTokens = uint64(c.Model.MemoryTokens)
		doc.MaxConcurrent = uint32(c.Model.MaxBatch)
		// The speed in real time, which is what callers observe.
		doc.Load.PrefillTokensPerSecond = c.Model.PrefillTokensPerSecond / a.in.scale
	}
	return doc
}

// announce sends one announcement, following one redirect. After a failure the next
// announcement goes to the next configured entry process. Only after one timeout of the
// owner it goes to the owner once more: a change of the owner costs a waiting period, and
// the loss of an entry process takes its peers longer to notice.
func (a *announcer) announce(ctx context.Context) {
	doc := a.announcement()
	to := a.target
	for range 2 {
		isOwner := a.owner != "" && a.ownerAddress == to && !a.released
		status, redirect, err := a.post(ctx, to, doc)
		switch {
		case err == nil && status == http.StatusOK:
			a.in.stats.Announced.Add(1)
			a.cacheEvents, a.isRepeat = nil, false
			return
		case err == nil && status == http.StatusTemporaryRedirect && redirect != "":
			to = redirect
			continue
		}
		if ctx.Err() == nil {
			a.in.log.Debug("announcement failed", zap.String("entry", to), zap.Int("status", status), observe.Error(err))
		}
		if isOwner && !a.isRepeat && isTimeout(err) {
			a.isRepeat = true
			a.in.stats.AnnounceFailed.Add(1)
			return
		}
		break
	}
	a.isRepeat = false
	a.in.stats.AnnounceFailed.Add(1)
	a.entryIndex = (a.entryIndex + 1) % len(a.in.cfg.Entries)
	a.target = a.in.cfg.Entries[a.entryIndex]
}

// isTimeout reports whether a call has failed because its response was late.
func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// post sends doc to the entry process at address to, and names the previous owner
// in it if that is another one. redirect is the address in a response that is not
// 200, if it has one.
func (a *announcer) post(ctx context.Context, to string, doc *announce.Announcement) (status int, redirect string, err error) {
	doc.PreviousOwner, doc.PreviousReleased = "", false
	if a.owner != "" && a.ownerAddress != to {
		doc.PreviousOwner, doc.PreviousReleased = a.owner, a.released
	}
	req, err := sling.New().Post("http://" + to + announce.Path).BodyJSON(doc).Request()
	if err != nil {
		return 0, "", errors.Annotatef(err, "build announcement to %s", to)
	}
	a.boot.announced.record(doc.Sequence)
	resp, err := a.client.Do(req.WithContext(ctx))
	if err != nil {
		if !errors.Is(err, syscall.ECONNREFUSED) {
			// The entry process may have accepted the announcement and may now own
			// this backend server, so the next announcement has to name it.
			a.owner, a.ownerAddress, a.released = to, to, false
		}
		return 0, "", errors.Annotatef(err, "announce to %s", to)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return resp.StatusCode, redirectAddress(resp), nil
	}
	var reply announce.Reply
	if err := json.NewDecoder(resp.Body).Decode(&reply); err != nil {
		return 0, "", errors.Annotatef(err, "decode reply of %s", to)
	}
	a.owner, a.ownerAddress, a.target, a.released = reply.Owner, to, to, reply.Released
	if reply.Released && reply.Next != "" {
		a.target = stripURL(reply.Next)
	}
	return resp.StatusCode, "", nil
}

// redirectAddress returns the host and port of the Location header of resp.
func redirectAddress(resp *http.Response) string {
	location := resp.Header.Get("Location")
	if u, err := resp.Location(); err == nil && strings.Contains(location, "://") {
		return u.Host
	}
	return stripURL(location)
}

// stripURL removes the scheme and the path from an address.
func stripURL(address string) string {
	if _, rest, ok := strings.Cut(address, "://"); ok {
		address = rest
	}
	address, _, _ = strings.Cut(address, "/")
	return address
}
