package ctl

import (
	"context"

	"github.com/juju/errors"

	"bilberryhub/internal/wire"
	"bilberryhub/internal/wirepb"
)

// notify tells the process at address where the state processes of the settings are.
func (t *tool) notify(ctx context.Context, address string) (*report, error) {
	notice := &wirepb.MembersNotice{Addresses: t.settings.States}
	if err := wire.CheckMembersNotice(notice); err != nil {
		return nil, withExitCode(ExitUsage, errors.Annotate(err, "at /states of the settings"))
	}
	client := wire.NewClient(address, t.wire)
	defer client.Close()
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	_, err := client.Call(ctx, &wirepb.Envelope{Body: &wirepb.Envelope_MembersNotice{MembersNotice: notice}})
	var remote *wire.RemoteError
	switch {
	case errors.As(err, &remote):
		return nil, withExitCode(ExitRefused, errors.Annotatef(err, "%s doesn't need the notice", address))
	case err != nil:
		return nil, withExitCode(ExitUnreachable, errors.Annotatef(err, "notify %s", address))
	}
	return &report{text: address + " asks the state processes of the settings", doc: map[string]any{"notified": address, "states": t.settings.States}}, nil
}
