package exchange

import (
	"context"
	"io"
	"maps"
	"net/http"
	"testing"
	"time"

	"github.com/juju/errors"

	"bilberryhub/internal/backendconn"
	"bilberryhub/internal/rawbackend"
)

// earlyEndRuns is the number of requests for each case: which of two system calls takes
// the error of a reset, the read or the write, differs from run to run.
const earlyEndRuns = 20

// readPause is a pause in reading a body in which its connection is reset: the write of the
// request then takes the error, and the read would find an end like that of a whole body.
const readPause = 60 * time.Millisecond

// Guards against a part of a response that is taken as complete because its connection
// was reset while the request was being written, and against a status that HTTP doesn't
// define. Both may have run.
func TestEarlyEndsAndNoStatusesFail(t *testing.T) {
	cases := rawbackend.EarlyEnds("HTTP/1.1 200 OK\r\nX-Id: %s\r\n", "part")
	maps.Copy(cases, rawbackend.WithStatus("X-Id: %s\r\n", "whole"))
	for name, response := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := (&rawbackend.Server{IDHeader: "X-Id", Response: response}).Serve(t)
			for i := range earlyEndRuns {
				checkFails(t, s, time.Duration(i%2)*readPause, i%4 < 2)
			}
			if n := s.Requests.Load(); n != earlyEndRuns {
				t.Errorf("%d requests were sent for %d", n, earlyEndRuns)
			}
		})
	}
}

// Guards against a whole response without a length that counts as ended early, although the
// backend server has read the request: the write of the request may not have returned yet.
func TestWholeResponseToALongRequestIsComplete(t *testing.T) {
	s := (&rawbackend.Server{IDHeader: "X-Id", Response: rawbackend.Whole("HTTP/1.1 200 OK\r\nX-Id: %s\r\n", "whole")}).Serve(t)
	for range earlyEndRuns {
		p := NewPool(1)
		p.Dial = rawbackend.Dial
		response, err := p.Do(t.Context(), Request{
			Address: s.Address, Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{"X-Id": {"a"}},
			Body: make([]byte, rawbackend.LongBodyBytes),
		})
		if err != nil {
			t.Fatal(err)
		}
		if body, err := response.ReadAll(1 << 20); err != nil || string(body) != "whole" || response.EndError() != nil {
			t.Errorf("body %q, error %v, later %v", body, err, response.EndError())
		}
		response.Close()
	}
}

// checkFails sends a request with a long body, which must fail without being taken for one
// that wasn't sent. It pauses after the first bytes of the body of the response.
func checkFails(t *testing.T, s *rawbackend.Server, pause time.Duration, hasSmallBuffer bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	p := NewPool(1)
	if hasSmallBuffer {
		p.Dial = rawbackend.Dial
	}
	response, err := p.Do(ctx, Request{
		Address: s.Address, Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{"X-Id": {"a"}},
		Body: make([]byte, rawbackend.LongBodyBytes), Matches: func(h http.Header) bool { return h.Get("X-Id") == "a" },
	})
	var notSent *NotSentError
	if errors.As(err, &notSent) {
		t.Errorf("the request counts as not sent: %v", err)
	}
	if err != nil {
		return
	}
	defer response.Close()
	first := make([]byte, 1)
	if _, err := io.ReadFull(response.Body, first); err != nil {
		if err == io.EOF {
			t.Errorf("complete with status %d and no body", response.Status)
		}
		return
	}
	time.Sleep(pause)
	body, err := response.ReadAll(1 << 20)
	if err == nil {
		time.Sleep(backendconn.EndSettleTime)
		err = response.EndError()
	}
	if err == nil {
		t.Errorf("complete with status %d and %q after a pause of %s", response.Status, append(first, body...), pause)
	}
}
