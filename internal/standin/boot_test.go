package standin

import (
	"net/http"
	"testing"

	"go.uber.org/zap"

	"bilberryhub/internal/announce"
)

// Guards against requests that were granted for an earlier boot and run on a later
// one: they would add to the load of its cold start.
func TestRequestForAnotherBootIsNotRun(t *testing.T) {
	model := DefaultModel()
	in := NewInstance(InstanceSettings{
		ID: "b1", Kind: announce.KindPlain, Listen: "127.0.0.1:0", FailureDomain: "d1", Service: "bookings",
		PathPrefix: "/bookings", FirstBoot: 7, Model: &model,
	}, 1, 1, zap.NewNop())
	if err := in.Start(); err != nil {
		t.Fatal(err)
	}
	defer in.Stop()
	for boot, want := range map[string]int{"6": announce.StatusWrongBoot, "7": http.StatusOK, "": http.StatusOK} {
		req, err := http.NewRequest(http.MethodPost, "http://"+in.Address()+"/bookings/x", http.NoBody)
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set(HeaderEffectID, "boot-"+boot)
		if boot != "" {
			req.Header.Set(announce.BootHeader, boot)
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		if resp.StatusCode != want {
			t.Errorf("boot %q: status %d, want %d", boot, resp.StatusCode, want)
		}
	}
	if n := in.Effects()["boot-6"]; n != 0 {
		t.Errorf("the request for another boot ran %d times", n)
	}
	http.DefaultClient.CloseIdleConnections()
}
