package stateserver

import (
	"context"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"bilberryhub/internal/observe"
	"bilberryhub/internal/wal"
)

// diskFullRetryInterval is the pause between two attempts to write to a full disk.
const diskFullRetryInterval = 100 * time.Millisecond

// isDiskFull reports whether a write failed because the disk has no space left.
func isDiskFull(err error) bool {
	var full *wal.DiskFullError
	return errors.As(err, &full)
}

// retryWhileDiskFull repeats write until the disk has space, and returns its result, or
// the last error when ctx ends. Until then the replica neither votes nor acknowledges,
// like one with a stalled disk; it doesn't end, because that would free no space.
func (s *Server) retryWhileDiskFull(ctx context.Context, write func() error) error {
	err := write()
	if !isDiskFull(err) {
		return err
	}
	start := s.opts.Now()
	s.metrics.diskFull.Set(1)
	s.log.Error("disk is full; waiting for space", observe.Error(err))
	for isDiskFull(err) && sleep(ctx, diskFullRetryInterval) {
		err = write()
	}
	if !isDiskFull(err) {
		s.metrics.diskFull.Set(0)
		s.log.Info("disk has space again", observe.Milliseconds("after_ms", s.opts.Now()-start))
	}
	return err
}

// StartWithSpace is like Start, but waits while the disk has no space for the first
// files of an empty data directory. It returns the error of ctx if ctx ends before.
func StartWithSpace(ctx context.Context, set Settings, opts Options, log *zap.Logger) (*Server, error) {
	for isFirst := true; ; isFirst = false {
		s, err := Start(set, opts, log)
		if !isDiskFull(err) {
			return s, err
		}
		if isFirst {
			log.Error("disk is full; waiting for space to start", observe.Error(err))
		}
		if !sleep(ctx, diskFullRetryInterval) {
			return nil, errors.Annotate(ctx.Err(), "wait for space on the disk")
		}
	}
}
