package wire

import (
	"net/netip"

	"github.com/juju/errors"

	"bilberryhub/internal/wirepb"
)

// MaxNoticeAddresses limits the addresses in a MembersNotice.
const MaxNoticeAddresses = 16

// CheckMembersNotice returns an error if the addresses of a notice can't be asked.
func CheckMembersNotice(n *wirepb.MembersNotice) error {
	if count := len(n.GetAddresses()); count == 0 || count > MaxNoticeAddresses {
		return errors.Errorf("the notice has %d addresses, expected 1 to %d", count, MaxNoticeAddresses)
	}
	for _, a := range n.GetAddresses() {
		if p, err := netip.ParseAddrPort(a); err != nil || p.Port() == 0 {
			return errors.Errorf("the notice has address %q, expected an IP address and a port", a)
		}
	}
	return nil
}
