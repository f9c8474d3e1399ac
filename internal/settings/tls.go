package settings

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/juju/errors"
)

// Config returns the TLS configuration for clients and servers, or nil when t
// is nil. Both sides present a certificate signed by the CA; host names are
// not checked, because processes are addressed by IP numbers that change with
// each replacement of a VM.
func (t *TLS) Config() (*tls.Config, error) {
	if t == nil {
		return nil, nil
	}
	cert, err := tls.LoadX509KeyPair(t.CertFile, t.KeyFile)
	if err != nil {
		return nil, errors.Annotatef(err, "load key pair %s, %s", t.CertFile, t.KeyFile)
	}
	pem, err := os.ReadFile(t.CAFile)
	if err != nil {
		return nil, errors.Annotate(err, "read CA certificates")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, errors.Errorf("no certificate in %s", t.CAFile)
	}
	return &tls.Config{
		Certificates: []tls.Certificate{cert},
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		RootCAs:      pool,
		MinVersion:   tls.VersionTLS13,
		// The chain is verified below without the host name.
		InsecureSkipVerify: true,
		VerifyConnection: func(cs tls.ConnectionState) error {
			return verifyChain(cs, pool)
		},
	}, nil
}

func verifyChain(cs tls.ConnectionState, roots *x509.CertPool) error {
	if len(cs.PeerCertificates) == 0 {
		return errors.New("peer presented no certificate")
	}
	opts := x509.VerifyOptions{
		Roots:         roots,
		Intermediates: x509.NewCertPool(),
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	}
	for _, c := range cs.PeerCertificates[1:] {
		opts.Intermediates.AddCert(c)
	}
	_, err := cs.PeerCertificates[0].Verify(opts)
	return errors.Annotate(err, "verify peer certificate")
}
