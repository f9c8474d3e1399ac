package standin

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"bilberryhub/internal/announce"
	"bilberryhub/internal/openai"
)

// keptAnnouncements is the number of announcements whose times are kept: all of
// announce.GrantLifetime, and some more.
const keptAnnouncements = 16

// announcementTimes holds when the last announcements of one boot were sent.
type announcementTimes struct {
	mu    sync.Mutex
	times [keptAnnouncements]struct {
		sequence uint64
		sentAt   time.Time
	}
}

// record records that an announcement is sent. One that is sent again after a redirect
// counts from the last time.
func (t *announcementTimes) record(sequence uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	entry := &t.times[sequence%keptAnnouncements]
	entry.sequence, entry.sentAt = sequence, time.Now()
}

// isInLifetime reports whether a request may begin to run that was granted under an
// announcement.
func (t *announcementTimes) isInLifetime(sequence uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	entry := t.times[sequence%keptAnnouncements]
	return entry.sequence == sequence && time.Since(entry.sentAt) <= announce.GrantLifetime
}

// refuseOldGrant reports whether a request, whose body has been read, was granted too long
// ago, and if so responds that it is not run.
func (b *boot) refuseOldGrant(w http.ResponseWriter, hr *http.Request) bool {
	text := hr.Header.Get(announce.SequenceHeader)
	if text == "" {
		return false
	}
	sequence, err := strconv.ParseUint(text, 10, 64)
	if err == nil && b.announced.isInLifetime(sequence) {
		return false
	}
	b.in.stats.OldGrants.Add(1)
	w.Header().Set(openai.HeaderRequestID, hr.Header.Get(openai.HeaderRequestID))
	writeError(w, announce.StatusWrongBoot, "old_grant", "this request was granted under an announcement that is too old")
	return true
}
